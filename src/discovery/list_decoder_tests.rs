//! Tests of the decoder of a watch's stream.

use super::error::{DiscoveryError, StaleListError};
use super::list_decoder::{ListDecoder, MAX_LIST_BYTES, Progress};

const FIRST_LIST: &str = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n";
const SECOND_LIST: &str = "{\"index\":2,\"snapshot\":false,\"endpoints\":[]}\n";

/// Decodes a chunk and returns the versions of the lists that it completes.
fn decode(decoder: &mut ListDecoder, chunk: &str) -> (Vec<u64>, Result<Progress, DiscoveryError>) {
    let mut versions = Vec::new();
    let progress = decoder.decode(chunk.as_bytes(), |list| {
        versions.push(list.index);
        Ok(())
    });
    (versions, progress)
}

/// Guards lists that are split: each counts with the chunk that completes it, and an incomplete one has no effect.
#[test]
fn list_is_passed_on_with_the_chunk_that_completes_it() {
    let mut decoder = ListDecoder::default();
    let (begin, end) = SECOND_LIST.split_at(SECOND_LIST.len() / 2);

    let (versions, progress) = decode(&mut decoder, &format!("{FIRST_LIST}{begin}"));
    assert_eq!(versions, [1]);
    assert_eq!(progress.expect("well-formed"), Progress::Alive);

    let (versions, progress) = decode(&mut decoder, end);
    assert_eq!(versions, [2]);
    assert_eq!(progress.expect("well-formed"), Progress::Alive);
}

/// Guards the silence time-out: a heartbeat is progress between lists, not within an incomplete one.
#[test]
fn heartbeat_is_no_progress_within_an_incomplete_list() {
    let mut decoder = ListDecoder::default();
    let (_, progress) = decode(&mut decoder, "\n");
    assert_eq!(progress.expect("well-formed"), Progress::Alive);

    decode(&mut decoder, "{\"index\":1").1.expect("well-formed");
    let (versions, progress) = decode(&mut decoder, "\n");
    assert!(versions.is_empty());
    assert_eq!(progress.expect("well-formed"), Progress::Incomplete);
}

/// Guards the lists before a malformed one: they count.
#[test]
fn lists_before_a_malformed_one_are_passed_on() {
    let (versions, progress) = decode(
        &mut ListDecoder::default(),
        &format!("{FIRST_LIST}{{\"index\":2}}\n"),
    );
    assert_eq!(versions, [1]);
    assert!(matches!(progress, Err(DiscoveryError::Json(_))));
}

/// Guards the rejection of a list: it ends the stream, and later lists are not passed on.
#[test]
fn rejected_list_ends_the_stream() {
    let mut received = 0;
    let chunk = format!("{FIRST_LIST}{SECOND_LIST}");
    let progress = ListDecoder::default().decode(chunk.as_bytes(), |_| {
        received += 1;
        Err(StaleListError)
    });
    assert!(matches!(progress, Err(DiscoveryError::StaleList(_))));
    assert_eq!(received, 1);
}

/// Guards the memory: an incomplete list may not grow without limit.
#[test]
fn incomplete_list_above_the_maximum_size_is_an_error() {
    let name = "x".repeat(MAX_LIST_BYTES);
    let (versions, progress) = decode(&mut ListDecoder::default(), &format!("{{\"{name}"));
    assert!(versions.is_empty());
    assert!(matches!(progress, Err(DiscoveryError::TooLong)));
}
