//! Tests of the decision module. They pass events to it one at a time and check its actions.

mod answer_time;
mod discovery_calls;
mod health_check;
mod host;
mod in_flight;
mod invalid_input;
mod key_order;
mod membership;
mod operators;
mod outlier;
mod overload_state;
mod random_sequences;
mod request_queue;
mod retry;
mod sequence_model;
mod sequence_rules;
mod sequence_step;
mod settings_change;
mod slow_start;
mod slow_start_fleet;
mod subset;
mod suspension;
mod warming_tier;
