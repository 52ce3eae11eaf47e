//! Parses JSON text and checks it for duplicate keys.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::cell::Cell;
use std::fmt;

/// The result of parsing a JSON text.
pub(super) struct ParsedJson {
    /// The value. If a key is duplicated, its last value is kept.
    pub value: Value,
    /// True if any object in the text has a duplicate key. The value does not show that.
    pub has_duplicate_keys: bool,
}

/// Parses a JSON text.
pub(super) fn parse_json(text: &str) -> Result<ParsedJson, serde_json::Error> {
    let has_duplicate_keys = Cell::new(false);
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = ValueReader(&has_duplicate_keys).deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(ParsedJson {
        value,
        has_duplicate_keys: has_duplicate_keys.get(),
    })
}

/// Reads one value and sets the flag if an object in it has a duplicate key.
#[derive(Clone, Copy)]
struct ValueReader<'a>(&'a Cell<bool>);

impl<'de> DeserializeSeed<'de> for ValueReader<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueReader<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any valid JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Value, A::Error> {
        let mut elements = Vec::new();
        while let Some(element) = sequence.next_element_seed(self)? {
            elements.push(element);
        }
        Ok(Value::Array(elements))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = entries.next_key()? {
            if object.insert(key, entries.next_value_seed(self)?).is_some() {
                self.0.set(true);
            }
        }
        Ok(Value::Object(object))
    }
}
