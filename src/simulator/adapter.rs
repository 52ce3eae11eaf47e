//! Hosts many instances of the balancer: reads the simulator's lines, passes events to the instances and writes their
//! actions as replies.

use super::action::{format_action, format_internal_error};
use super::endpoint_lists::EndpointLists;
use super::error::MessageError;
use super::event::{IdTable, parse_event};
use super::instance::InstanceNumber;
use super::message::{Message, parse_message};
use crate::policy::{Action, Balancer, Event, Settings, Timestamp};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The last line of each reply.
const REPLY_END: &str = "ok\n";

/// The reason why the adapter ended before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The number of the line, from 1.
        line: u64,
        /// The reason why it could not be read.
        source: io::Error,
    },
    /// A reply could not be written.
    #[error(transparent)]
    Write(io::Error),
    /// A line is invalid.
    #[error("line {line}: {source}")]
    InvalidMessage {
        /// The number of the line, from 1.
        line: u64,
        /// The error in the line.
        source: MessageError,
    },
    /// The input ended within a batch.
    #[error("the input ends inside a batch")]
    UnfinishedBatch,
}

/// Replies to batches until the input ends.
///
/// # Errors
/// Returns an error if a line cannot be read or is invalid, if the input ends within a batch, or if a reply cannot be
/// written. A batch with an invalid line gets no reply.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut text = String::new();
    for line in 1.. {
        text.clear();
        let read = input
            .read_line(&mut text)
            .map_err(|source| AdapterError::Read { line, source })?;
        if read == 0 {
            break;
        }
        let reply_state = adapter
            .handle_line(without_line_end(&text))
            .map_err(|source| AdapterError::InvalidMessage { line, source })?;
        if reply_state == ReplyState::Complete {
            write_reply(&mut output, &adapter.reply).map_err(AdapterError::Write)?;
            adapter.reply.clear();
        }
    }
    if adapter.batch_time.is_some() {
        return Err(AdapterError::UnfinishedBatch);
    }
    Ok(())
}

fn without_line_end(text: &str) -> &str {
    let line = text.strip_suffix('\n').unwrap_or(text);
    line.strip_suffix('\r').unwrap_or(line)
}

fn write_reply(output: &mut impl Write, reply: &str) -> io::Result<()> {
    output.write_all(reply.as_bytes())?;
    output.flush()
}

/// The state of the reply to a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyState {
    Incomplete,
    Complete,
}

/// One instance of the balancer, with the IDs of its classes and tenants.
struct Instance {
    balancer: Balancer,
    ids: IdTable,
}

/// The running instances, the endpoint lists, and the state of the current batch.
#[derive(Default)]
struct Adapter {
    instances: HashMap<InstanceNumber, Instance>,
    lists: EndpointLists,
    /// The time of the current batch; `None` between batches.
    batch_time: Option<Timestamp>,
    last_batch_time: Timestamp,
    /// The actions of one event. The buffer is reused for each event.
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    fn handle_line(&mut self, line: &str) -> Result<ReplyState, MessageError> {
        let message = match parse_message(line)? {
            Message::ListEntry(entry) => {
                self.lists.add(entry)?;
                return Ok(ReplyState::Incomplete);
            }
            message => message,
        };
        self.lists.require_complete()?;
        if let Message::BatchStart { at } = message {
            self.start_batch(at)?;
            return Ok(ReplyState::Incomplete);
        }
        let now = self
            .batch_time
            .ok_or_else(|| MessageError::OutsideBatch(line.into()))?;
        self.handle_message(now, message)
    }

    fn start_batch(&mut self, at: Timestamp) -> Result<(), MessageError> {
        if self.batch_time.is_some() {
            return Err(MessageError::NestedBatch);
        }
        if at < self.last_batch_time {
            return Err(MessageError::TimeGoesBackwards);
        }
        self.batch_time = Some(at);
        self.last_batch_time = at;
        Ok(())
    }

    /// Handles a message within a batch.
    fn handle_message(
        &mut self,
        now: Timestamp,
        message: Message<'_>,
    ) -> Result<ReplyState, MessageError> {
        match message {
            Message::ListStart { list, entries } => self.lists.start(list, entries),
            Message::InstanceStart {
                instance,
                seed,
                settings,
            } => self.start_instance(instance, seed, *settings)?,
            Message::InstanceEnd(instance) => {
                self.instances
                    .remove(&instance)
                    .ok_or(MessageError::InstanceNotRunning(instance))?;
            }
            Message::ListReceived {
                instance,
                version,
                list,
                kind,
            } => {
                let entries = self.lists.get(list)?;
                let event = Event::EndpointList {
                    version,
                    kind,
                    entries,
                };
                self.handle_event(now, instance, event)?;
            }
            Message::DiscoveryFailed(instance) => {
                self.handle_event(now, instance, Event::DiscoveryFailed)?;
            }
            Message::Event(instance, fields) => {
                let event = parse_event(&fields, &self.instance(instance)?.ids)?;
                self.handle_event(now, instance, event)?;
            }
            Message::BatchEnd => {
                self.batch_time = None;
                self.reply.push_str(REPLY_END);
                return Ok(ReplyState::Complete);
            }
            // Handled by `handle_line`.
            Message::ListEntry(_) | Message::BatchStart { .. } => {}
        }
        Ok(ReplyState::Incomplete)
    }

    fn start_instance(
        &mut self,
        number: InstanceNumber,
        seed: u64,
        settings: Settings,
    ) -> Result<(), MessageError> {
        let ids = IdTable::from_settings(&settings);
        let balancer = Balancer::new(settings, seed)?;
        match self.instances.insert(number, Instance { balancer, ids }) {
            Some(_) => Err(MessageError::InstanceAlreadyRunning(number)),
            None => Ok(()),
        }
    }

    fn instance(&mut self, number: InstanceNumber) -> Result<&mut Instance, MessageError> {
        self.instances
            .get_mut(&number)
            .ok_or(MessageError::InstanceNotRunning(number))
    }

    /// Passes an event to an instance and adds its actions to the reply.
    ///
    /// If the instance panics, the reply reports the panic instead of its actions, and the other instances continue.
    fn handle_event(
        &mut self,
        now: Timestamp,
        number: InstanceNumber,
        event: Event,
    ) -> Result<(), MessageError> {
        let mut actions = std::mem::take(&mut self.actions);
        let balancer = &mut self.instance(number)?.balancer;
        let handled = catch_unwind(AssertUnwindSafe(|| {
            balancer.handle(now, event, &mut actions);
        }));
        match handled {
            Ok(()) => {
                for action in &actions {
                    format_action(&mut self.reply, number, action);
                }
            }
            Err(payload) => {
                format_internal_error(&mut self.reply, number, panic_message(&*payload));
            }
        }
        actions.clear();
        self.actions = actions;
        Ok(())
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let message = payload.downcast_ref::<String>().map(String::as_str);
    message
        .or_else(|| payload.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
