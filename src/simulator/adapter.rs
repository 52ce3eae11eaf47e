//! Hosts many instances of the decision module, from the simulator's lines to its replies.

use super::action::{format_action, format_internal_error};
use super::endpoint_lists::EndpointLists;
use super::error::WireError;
use super::event::{IdTable, parse_event};
use super::instance::InstanceNumber;
use super::message::{Message, parse_message};
use crate::policy::{Action, Balancer, Event, Settings, Timestamp};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The end of each reply.
const REPLY_END: &str = "ok\n";

/// Why the adapter ended before its input did.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read from the input.
    #[error("line {line}: {failure}")]
    Read {
        /// Its number, from 1.
        line: u64,
        /// What went wrong.
        failure: io::Error,
    },
    /// A reply could not be written.
    #[error(transparent)]
    Write(io::Error),
    /// A line is wrong.
    #[error("line {line}: {error}")]
    Wire {
        /// Its number, from 1.
        line: u64,
        /// What is wrong with it.
        error: WireError,
    },
    /// The input ended before its last batch did.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
}

/// Answers batches until the input ends.
///
/// # Errors
/// What was wrong with the input, or why a reply could not be written. No reply is written in part.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut text = String::new();
    for line in 1.. {
        text.clear();
        let read = input
            .read_line(&mut text)
            .map_err(|failure| AdapterError::Read { line, failure })?;
        if read == 0 {
            break;
        }
        let message = text.strip_suffix('\n').unwrap_or(&text);
        let message = message.strip_suffix('\r').unwrap_or(message);
        let is_complete = adapter
            .take(message)
            .map_err(|error| AdapterError::Wire { line, error })?;
        if is_complete {
            output
                .write_all(adapter.reply.as_bytes())
                .map_err(AdapterError::Write)?;
            output.flush().map_err(AdapterError::Write)?;
            adapter.reply.clear();
        }
    }
    if adapter.batch_time.is_some() {
        return Err(AdapterError::UnfinishedBatch);
    }
    Ok(())
}

/// One instance of the decision module.
struct Instance {
    balancer: Balancer,
    ids: IdTable,
}

#[derive(Default)]
struct Adapter {
    instances: HashMap<InstanceNumber, Instance>,
    lists: EndpointLists,
    /// The time of the batch that has begun.
    batch_time: Option<Timestamp>,
    last_batch_time: Timestamp,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Takes one line; true when the reply is complete.
    fn take(&mut self, line: &str) -> Result<bool, WireError> {
        let message = match parse_message(line)? {
            Message::Entry(entry) => {
                self.lists.add(entry)?;
                return Ok(false);
            }
            message => message,
        };
        self.lists.require_complete()?;
        if let Message::BatchStart { at } = message {
            self.begin_batch(at)?;
            return Ok(false);
        }
        let now = self
            .batch_time
            .ok_or_else(|| WireError::OutsideBatch(line.into()))?;
        match message {
            Message::ListStart { list, entries } => self.lists.begin(list, entries),
            Message::InstanceStart {
                instance,
                seed,
                settings,
            } => self.start(instance, seed, *settings)?,
            Message::InstanceEnd(instance) => {
                self.instances
                    .remove(&instance)
                    .ok_or(WireError::InstanceNotRunning(instance))?;
            }
            Message::ListReceived {
                instance,
                version,
                list,
                kind,
            } => {
                let entries = self.lists.get(list)?;
                self.handle(
                    now,
                    instance,
                    Event::EndpointList {
                        version,
                        kind,
                        entries,
                    },
                )?;
            }
            Message::DiscoveryFailed(instance) => {
                self.handle(now, instance, Event::DiscoveryFailed)?;
            }
            Message::Event(instance, fields) => {
                let event = parse_event(&fields, &self.instance(instance)?.ids)?;
                self.handle(now, instance, event)?;
            }
            Message::BatchEnd => {
                self.batch_time = None;
                self.reply.push_str(REPLY_END);
                return Ok(true);
            }
            Message::Entry(_) | Message::BatchStart { .. } => {}
        }
        Ok(false)
    }

    fn begin_batch(&mut self, at: Timestamp) -> Result<(), WireError> {
        if self.batch_time.is_some() {
            return Err(WireError::NestedBatch);
        }
        if at < self.last_batch_time {
            return Err(WireError::TimeGoesBackwards);
        }
        self.batch_time = Some(at);
        self.last_batch_time = at;
        Ok(())
    }

    fn start(
        &mut self,
        number: InstanceNumber,
        seed: u64,
        settings: Settings,
    ) -> Result<(), WireError> {
        let ids = IdTable::of(&settings);
        let balancer = Balancer::new(settings, seed)?;
        match self.instances.insert(number, Instance { balancer, ids }) {
            Some(_) => Err(WireError::InstanceAlreadyRunning(number)),
            None => Ok(()),
        }
    }

    fn instance(&mut self, number: InstanceNumber) -> Result<&mut Instance, WireError> {
        self.instances
            .get_mut(&number)
            .ok_or(WireError::InstanceNotRunning(number))
    }

    /// Gives an event to an instance. A panic there is a line of the reply, and the others go on.
    fn handle(
        &mut self,
        now: Timestamp,
        number: InstanceNumber,
        event: Event,
    ) -> Result<(), WireError> {
        let mut actions = std::mem::take(&mut self.actions);
        let balancer = &mut self.instance(number)?.balancer;
        match catch_unwind(AssertUnwindSafe(|| {
            balancer.handle(now, event, &mut actions);
        })) {
            Ok(()) => actions
                .iter()
                .for_each(|action| format_action(&mut self.reply, number, action)),
            Err(cause) => format_internal_error(&mut self.reply, number, panic_message(&*cause)),
        }
        actions.clear();
        self.actions = actions;
        Ok(())
    }
}

fn panic_message(cause: &(dyn Any + Send)) -> &str {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| cause.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
