//! Tests of the decoder for the stream of lists on a watch.

use super::error::{DiscoveryError, StaleListError};
use super::list_decoder::{ChunkContent, ListDecoder, MAX_LIST_BYTES};

const FIRST_LIST: &str = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n";
const SECOND_LIST: &str = "{\"index\":2,\"snapshot\":false,\"endpoints\":[]}\n";

/// Decodes a chunk and returns the versions of the lists that it completes.
fn decode(
    decoder: &mut ListDecoder,
    chunk: &str,
) -> (Vec<u64>, Result<ChunkContent, DiscoveryError>) {
    let mut versions = Vec::new();
    let content = decoder.decode(chunk.as_bytes(), |list| {
        versions.push(list.version);
        Ok(())
    });
    (versions, content)
}

/// Guards the decoding of lists that are split between chunks. A list must be passed on with the chunk that completes
/// it, and not before.
#[test]
fn list_is_decoded_with_its_last_chunk() {
    let mut decoder = ListDecoder::default();
    let (beginning, end) = SECOND_LIST.split_at(SECOND_LIST.len() / 2);

    let (versions, content) = decode(&mut decoder, &format!("{FIRST_LIST}{beginning}"));
    assert_eq!(versions, [1]);
    assert_eq!(content.expect("well-formed"), ChunkContent::ListOrHeartbeat);

    let (versions, content) = decode(&mut decoder, end);
    assert_eq!(versions, [2]);
    assert_eq!(content.expect("well-formed"), ChunkContent::ListOrHeartbeat);
}

/// Guards the silence timeout. A heartbeat must count as received data between lists, but not within an incomplete
/// list.
#[test]
fn heartbeat_within_a_list_is_no_progress() {
    let mut decoder = ListDecoder::default();
    let (_, content) = decode(&mut decoder, "\n");
    assert_eq!(content.expect("well-formed"), ChunkContent::ListOrHeartbeat);

    decode(&mut decoder, "{\"index\":1").1.expect("well-formed");
    let (versions, content) = decode(&mut decoder, "\n");
    assert!(versions.is_empty());
    assert_eq!(content.expect("well-formed"), ChunkContent::NothingNew);
}

/// Guards against a timeout during long lists that arrive slowly. Each part of a list must count as received data,
/// even if it does not complete the list.
#[test]
fn part_of_a_list_is_progress() {
    let mut decoder = ListDecoder::default();
    for part in ["{\"index\":1,", "\"snapshot\":", "true,\"endpoints\":["] {
        let (versions, content) = decode(&mut decoder, part);
        assert!(versions.is_empty());
        assert_eq!(
            content.expect("well-formed"),
            ChunkContent::PartOfList,
            "{part}"
        );
    }
    assert_eq!(decode(&mut decoder, "]}").0, [1]);
}

/// Guards against quadratic processing time for lists of thousands of endpoints in small chunks. Each list must be
/// parsed once, not again with each chunk.
#[test]
fn list_in_small_chunks_is_parsed_once() {
    let entry = "{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\",\
                 \"group\":0,\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":0}";
    let entries = [entry; 200].join(",");
    let list = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{entries}]}}\n");
    let mut decoder = ListDecoder::default();
    for chunk in list.as_bytes().chunks(64) {
        let text = std::str::from_utf8(chunk).expect("ASCII");
        decode(&mut decoder, text).1.expect("well-formed");
    }
    assert_eq!(decoder.parse_count, 1);
}

/// Guards against results that depend on the division into chunks. Every chunk size must give the same lists, also if
/// strings contain brackets and quotes.
#[test]
fn lists_do_not_depend_on_the_chunk_size() {
    let entry = "{\"name\":\"a}]\\\"{[\",\"address\":\"127.0.0.1:1\",\"zone\":\"\\\\\",\"type\":\"m\",\
                 \"group\":0,\"status\":\"SERVING\",\"weight\":1.5,\"since_ms\":0}";
    let list = format!("{{\"index\":3 ,\n \"snapshot\": true,\"endpoints\":[{entry}, {entry}]}}");
    let stream = format!("\n{FIRST_LIST}{list}\r\n{SECOND_LIST}");
    for chunk_size in 1..stream.len() {
        let mut decoder = ListDecoder::default();
        let mut versions = Vec::new();
        for chunk in stream.as_bytes().chunks(chunk_size) {
            let text = std::str::from_utf8(chunk).expect("ASCII");
            let (received, content) = decode(&mut decoder, text);
            content.expect("well-formed");
            versions.extend(received);
        }
        assert_eq!(versions, [1, 3, 2], "{chunk_size} bytes a chunk");
    }
}

/// Guards against a truncated list that goes unnoticed because others follow it. It must be detected by the end of the
/// second list after it, for every length of the truncated list.
#[test]
fn truncated_list_is_detected() {
    let list = "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"group\":12}]}";
    for truncated_at in 1..list.len() {
        let mut decoder = ListDecoder::default();
        let chunks = [&list[..truncated_at], "\n", FIRST_LIST, SECOND_LIST];
        let is_detected = chunks
            .iter()
            .any(|chunk| decode(&mut decoder, chunk).1.is_err());
        assert!(is_detected, "{}", &list[..truncated_at]);
    }
}

/// Guards against the loss of lists that precede a malformed one in the same chunk.
#[test]
fn lists_before_a_malformed_one_are_decoded() {
    let (versions, content) = decode(
        &mut ListDecoder::default(),
        &format!("{FIRST_LIST}{{\"index\":2}}\n"),
    );
    assert_eq!(versions, [1]);
    assert!(matches!(content, Err(DiscoveryError::Json(_))));
}

/// Guards the rejection of a list. It must end the stream, and later lists must not be passed on.
#[test]
fn rejected_list_ends_the_stream() {
    let mut received = 0;
    let chunk = format!("{FIRST_LIST}{SECOND_LIST}");
    let content = ListDecoder::default().decode(chunk.as_bytes(), |_| {
        received += 1;
        Err(StaleListError)
    });
    assert!(matches!(content, Err(DiscoveryError::StaleList(_))));
    assert_eq!(received, 1);
}

/// Guards against memory growth: an incomplete list must not exceed the maximum size.
#[test]
fn incomplete_list_above_the_maximum_size_is_an_error() {
    let name = "x".repeat(MAX_LIST_BYTES);
    let (versions, content) = decode(&mut ListDecoder::default(), &format!("{{\"{name}"));
    assert!(versions.is_empty());
    assert!(matches!(content, Err(DiscoveryError::TooLong)));
}
