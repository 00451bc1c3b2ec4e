//! Reading of configuration records from JSON text: schema versions, defaults, limits and faults.

use std::{collections::BTreeMap, fmt, ops::RangeInclusive};

use serde::{
    Deserialize, Serialize,
    de::{self, Deserializer, MapAccess, Visitor},
};
use serde_json::Value;

use crate::{
    credential::Digest,
    record::{
        Class, Customer, Key, OLDEST_SCHEMA, Pool, Protocol, Record, Role, Route, SCHEMA, Target,
    },
};

/// Longest name of a record, in bytes.
const MAX_NAME: usize = 64;

/// Longest name of a model, in bytes.
const MAX_MODEL: usize = 128;

/// Longest path prefix, in bytes.
const MAX_PREFIX: usize = 256;

/// Most names in one list.
const MAX_LIST: usize = 1_000;

/// Longest quotation of a value in a fault, in characters.
const MAX_QUOTE: usize = 60;

/// What names of records are made of.
const NAME: &str = "1 to 64 of a-z 0-9 - . _";

/// What names of models are made of.
const MODEL: &str = "1 to 128 printable characters without spaces";

/// Paths that entry hosts route by model.
const MODEL_PATHS: [&str; 3] = ["/v1/chat/completions", "/v1/completions", "/v1/models"];

/// One thing that is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// Kind and name of the record, joined by `/`.
    pub record: String,
    /// Field, empty if the record as a whole is meant.
    pub field: String,
    /// What stands there. Never a value that may be secret.
    pub found: String,
    /// What would be accepted.
    pub accepted: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.record)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "found {}; accepted: {}", self.found, self.accepted)
    }
}

/// A record that was read, and the schema version of its text.
#[derive(Debug, Clone, PartialEq)]
pub struct Parsed {
    /// The record, in the newest schema.
    pub record: Record,
    /// Schema version of the text.
    pub schema: u32,
}

/// A record before and after its move to the newest schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Migration {
    /// Kind and name of the record, joined by `/`.
    pub record: String,
    /// The text as it stands.
    pub before: String,
    /// The text in the newest schema.
    pub after: String,
}

/// Reads a record of any schema version that is readable.
///
/// # Errors
/// Every fault of the record by itself; references to other records are not looked at.
pub fn parse(text: &[u8]) -> Result<Parsed, Vec<Fault>> {
    let object: Object = serde_json::from_slice(text).map_err(|error| {
        vec![Fault {
            record: "record".to_owned(),
            field: String::new(),
            found: format!("text that is not a JSON object ({error})"),
            accepted: "a JSON object with schema, kind and name".to_owned(),
        }]
    })?;
    let mut fields = Fields::new(object);
    let schema = fields.schema();
    let kind = fields.kind();
    let name = fields.name("name");
    fields.record = format!("{}/{name}", kind.map_or("record", Kind::as_str));
    let (Some(schema), Some(kind)) = (schema, kind) else {
        return Err(fields.labelled());
    };
    let record = match kind {
        Kind::Customer => Record::Customer(customer(&mut fields, name)),
        Kind::Key => Record::Key(key(&mut fields, name)),
        Kind::Class => Record::Class(class(&mut fields, name, schema)),
        Kind::Route => Record::Route(route(&mut fields, name, schema)),
        Kind::Pool => Record::Pool(pool(&mut fields, name)),
    };
    fields.refuse_unknown();
    if fields.faults.is_empty() { Ok(Parsed { record, schema }) } else { Err(fields.labelled()) }
}

/// Reads the record of a store key, whose kind and name must agree with the text.
///
/// # Errors
/// As `parse`, and a fault if the text belongs under another key.
pub fn parse_at(key: &str, text: &[u8]) -> Result<Parsed, Vec<Fault>> {
    let id = key.strip_prefix("config/").unwrap_or(key);
    let fault = |field: &str, found: String, accepted: String| Fault {
        record: id.to_owned(),
        field: field.to_owned(),
        found,
        accepted,
    };
    let parsed = parse(text).map_err(|faults| {
        let relabel = |it: Fault| fault(&it.field, it.found, it.accepted);
        faults.into_iter().map(relabel).collect::<Vec<_>>()
    })?;
    let own = format!("{}/{}", parsed.record.kind(), parsed.record.name());
    if own != id {
        let accepted = format!("the kind and name of its place, {id}");
        return Err(vec![fault("name", own, accepted)]);
    }
    Ok(parsed)
}

/// Writes a record in the newest schema.
pub fn to_text(record: &Record) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

/// Moves a record's text to the newest schema; `None` if it is there already.
///
/// # Errors
/// The faults of the record.
pub fn migrate(text: &str) -> Result<Option<Migration>, Vec<Fault>> {
    let Parsed { record, schema } = parse(text.as_bytes())?;
    if schema == SCHEMA {
        return Ok(None);
    }
    let after = to_text(&record);
    let record = format!("{}/{}", record.kind(), record.name());
    Ok(Some(Migration { record, before: text.to_owned(), after }))
}

/// Whether a text says that it is a withdrawn key, even if the record is otherwise invalid.
pub(crate) fn says_withdrawn(text: &str) -> bool {
    let object: Result<Object, _> = serde_json::from_str(text);
    object.is_ok_and(|it| {
        it.pairs.iter().any(|(name, value)| name == "withdrawn" && *value == Value::Bool(true))
    })
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Customer,
    Key,
    Class,
    Route,
    Pool,
}

impl Kind {
    const ALL: [Kind; 5] = [Kind::Customer, Kind::Key, Kind::Class, Kind::Route, Kind::Pool];

    fn as_str(self) -> &'static str {
        match self {
            Kind::Customer => "customer",
            Kind::Key => "key",
            Kind::Class => "class",
            Kind::Route => "route",
            Kind::Pool => "pool",
        }
    }
}

/// The members of a JSON object in the order of the text, duplicates included.
struct Object {
    pairs: Vec<(String, Value)>,
}

impl<'de> Deserialize<'de> for Object {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Object, D::Error> {
        struct Pairs;
        impl<'de> Visitor<'de> for Pairs {
            type Value = Object;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Object, A::Error> {
                let mut pairs = Vec::new();
                while let Some(pair) = map.next_entry()? {
                    pairs.push(pair);
                }
                Ok(Object { pairs })
            }

            // Quoting the value could reveal a secret.
            fn visit_str<E: de::Error>(self, _: &str) -> Result<Object, E> {
                Err(E::custom("a text"))
            }
        }
        deserializer.deserialize_any(Pairs)
    }
}

/// The fields of a record that were not read yet, and the faults of those that were.
struct Fields {
    record: String,
    values: BTreeMap<String, Value>,
    known: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl Fields {
    fn new(object: Object) -> Fields {
        let mut fields = Fields {
            record: "record".to_owned(),
            values: BTreeMap::new(),
            known: Vec::new(),
            faults: Vec::new(),
        };
        for (name, value) in object.pairs {
            let shown = quote(&name);
            if fields.values.insert(name, value).is_some() {
                fields.fault(&shown, "the field twice", "the field once");
            }
        }
        fields
    }

    fn fault(&mut self, field: &str, found: impl Into<String>, accepted: impl Into<String>) {
        let (found, accepted) = (found.into(), accepted.into());
        self.faults.push(Fault { record: String::new(), field: field.to_owned(), found, accepted });
    }

    /// The faults with the record's label, which is only known once kind and name were read.
    fn labelled(self) -> Vec<Fault> {
        let label = |it| Fault { record: self.record.clone(), ..it };
        self.faults.into_iter().map(label).collect()
    }

    fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known.push(field);
        self.values.remove(field).filter(|it| !it.is_null())
    }

    fn schema(&mut self) -> Option<u32> {
        let accepted = format!("{OLDEST_SCHEMA} to {SCHEMA}");
        let Some(value) = self.take("schema") else {
            self.fault("schema", "nothing", accepted);
            return None;
        };
        let number = value.as_u64().and_then(|it| u32::try_from(it).ok());
        let schema = number.filter(|it| (OLDEST_SCHEMA..=SCHEMA).contains(it));
        if schema.is_none() {
            self.fault("schema", show(&value), accepted);
        }
        schema
    }

    fn kind(&mut self) -> Option<Kind> {
        let choices = Kind::ALL.map(|it| (it.as_str(), it));
        self.choice("kind", &choices)
    }

    fn choice<T: Copy>(&mut self, field: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let accepted = choices.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
        let Some(value) = self.take(field) else {
            self.fault(field, "nothing", accepted);
            return None;
        };
        let chosen = choices.iter().find(|(name, _)| value.as_str() == Some(name));
        if chosen.is_none() {
            self.fault(field, show(&value), accepted);
        }
        chosen.map(|(_, it)| *it)
    }

    fn optional_number(&mut self, field: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(field)?;
        let number = value.as_u64().filter(|it| range.contains(it));
        if number.is_none() {
            let accepted = format!("a whole number from {} to {}", range.start(), range.end());
            self.fault(field, show(&value), accepted);
        }
        number
    }

    fn number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let absent = !self.values.contains_key(field);
        let number = self.optional_number(field, range.clone());
        if absent && default.is_none() {
            let accepted = format!("a whole number from {} to {}", range.start(), range.end());
            self.fault(field, "nothing", accepted);
        }
        number.or(default).unwrap_or(*range.start())
    }

    fn small(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u32>,
        default: Option<u32>,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        // The range ends within 32 bits.
        self.number(field, range, default.map(u64::from)) as u32
    }

    fn flag(&mut self, field: &'static str) -> bool {
        let Some(value) = self.take(field) else { return false };
        let flag = value.as_bool();
        if flag.is_none() {
            self.fault(field, show(&value), "true or false");
        }
        flag.unwrap_or_default()
    }

    fn optional_text(
        &mut self,
        field: &'static str,
        accepts: fn(&str) -> bool,
        accepted: &str,
    ) -> Option<String> {
        let value = self.take(field)?;
        let text = value.as_str().filter(|it| accepts(it)).map(str::to_owned);
        if text.is_none() {
            self.fault(field, show(&value), accepted);
        }
        text
    }

    fn name(&mut self, field: &'static str) -> String {
        let absent = !self.values.contains_key(field);
        let name = self.optional_text(field, is_name, NAME);
        if absent {
            self.fault(field, "nothing", NAME);
        }
        name.unwrap_or_default()
    }

    fn names(
        &mut self,
        field: &'static str,
        accepts: fn(&str) -> bool,
        accepted: &str,
    ) -> Vec<String> {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Some(items) = value.as_array().filter(|it| it.len() <= MAX_LIST) else {
            let accepted = format!("a list of at most {MAX_LIST} names");
            self.fault(field, show(&value), accepted);
            return Vec::new();
        };
        let mut names = Vec::with_capacity(items.len());
        for (position, item) in items.iter().enumerate() {
            match item.as_str().filter(|it| accepts(it)) {
                Some(name) if names.iter().any(|it| it == name) => {
                    let found = format!("{} again", show(item));
                    self.fault(&format!("{field}[{position}]"), found, "each name once");
                }
                Some(name) => names.push(name.to_owned()),
                None => self.fault(&format!("{field}[{position}]"), show(item), accepted),
            }
        }
        names
    }

    fn refuse_unknown(&mut self) {
        let known = self.known.join(", ");
        // The values may be secrets that were put into the wrong field.
        for name in std::mem::take(&mut self.values).into_keys() {
            self.fault(&quote(&name), "an unknown field", known.as_str());
        }
    }
}

fn customer(fields: &mut Fields, name: String) -> Customer {
    Customer {
        schema: SCHEMA,
        name,
        weight: fields.small("weight", 1..=1_000, Some(1)),
        requests_per_second: fields
            .optional_number("requests_per_second", 1..=1_000_000)
            .map(|it| it as u32),
        tokens_per_minute: fields.optional_number("tokens_per_minute", 1..=1_000_000_000_000),
        concurrency: fields.optional_number("concurrency", 1..=1_000_000).map(|it| it as u32),
    }
}

fn key(fields: &mut Fields, name: String) -> Key {
    let roles =
        [("caller", Role::Caller), ("operator", Role::Operator), ("auditor", Role::Auditor)];
    let role = fields.choice("role", &roles);
    let stated = fields.values.get("customer").is_some_and(|it| !it.is_null());
    let customer = fields.optional_text("customer", is_name, NAME);
    match role {
        Some(Role::Caller) if !stated => {
            fields.fault("customer", "nothing", "the customer of the caller");
        }
        Some(Role::Operator | Role::Auditor) if stated => {
            fields.fault("customer", "a customer", "no customer for operators and auditors");
        }
        Some(Role::Caller | Role::Operator | Role::Auditor) | None => {}
    }
    Key {
        schema: SCHEMA,
        name,
        customer,
        role: role.unwrap_or(Role::Caller),
        digest: digest(fields),
        expires_ms: fields.optional_number("expires_ms", 0..=u64::MAX),
        withdrawn: fields.flag("withdrawn"),
    }
}

/// Reads a digest; its value is not quoted, since a secret may stand there by mistake.
fn digest(fields: &mut Fields) -> String {
    let accepted = "64 hexadecimal digits 0-9 a-f, the SHA-256 of the secret";
    let Some(value) = fields.take("digest") else {
        fields.fault("digest", "nothing", accepted);
        return String::new();
    };
    match value.as_str() {
        Some(text) if Digest::parse(text).is_some() => text.to_owned(),
        Some(text) => {
            let found = format!("{} characters that are not a digest", text.chars().count());
            fields.fault("digest", found, accepted);
            String::new()
        }
        None => {
            fields.fault("digest", "a value that is not a text", accepted);
            String::new()
        }
    }
}

fn class(fields: &mut Fields, name: String, schema: u32) -> Class {
    let tier = if schema == 1 {
        let priorities = [("high", 1), ("normal", 2), ("low", 3)];
        fields.choice("priority", &priorities).unwrap_or(1)
    } else {
        fields.small("tier", 1..=8, None) as u8
    };
    Class {
        schema: SCHEMA,
        name,
        tier,
        first_token_ms: fields.number("first_token_ms", 1..=600_000, None),
        token_gap_ms: fields.number("token_gap_ms", 0..=60_000, None),
        attainment_per_mille: fields.small("attainment_per_mille", 1..=1_000, Some(950)),
        floor_per_mille: fields.small("floor_per_mille", 0..=500, Some(20)),
        max_wait_ms: fields.number("max_wait_ms", 0..=600_000, None),
    }
}

fn route(fields: &mut Fields, name: String, schema: u32) -> Route {
    let target = if schema == 1 { flat_target(fields) } else { target(fields) };
    let route = Route {
        schema: SCHEMA,
        name,
        target: target.unwrap_or(Target::Model(String::new())),
        pool: fields.name("pool"),
        class: fields.name("class"),
        open: fields.flag("open"),
        customers: fields.names("customers", is_name, NAME),
        repeatable: fields.flag("repeatable"),
        max_body_bytes: fields.number("max_body_bytes", 1..=64 << 20, Some(1 << 20)),
        timeout_ms: fields.number("timeout_ms", 1..=3_600_000, Some(600_000)),
    };
    if route.open && !route.customers.is_empty() {
        fields.fault("customers", "customers on an open route", "no customers, or open false");
    }
    route
}

const TARGET: &str = "{\"model\": name} or {\"prefix\": path}";

fn target(fields: &mut Fields) -> Option<Target> {
    let Some(value) = fields.take("target") else {
        fields.fault("target", "nothing", TARGET);
        return None;
    };
    let target: Option<Target> = serde_json::from_value(value.clone()).ok();
    match target {
        Some(Target::Model(model)) => checked_model(fields, "target.model", model),
        Some(Target::Prefix(prefix)) => checked_prefix(fields, "target.prefix", prefix),
        None => {
            fields.fault("target", show(&value), TARGET);
            None
        }
    }
}

/// Target of schema 1, where it is either the field `model` or the field `path`.
fn flat_target(fields: &mut Fields) -> Option<Target> {
    let model = fields.optional_text("model", |_| true, MODEL);
    let path = fields.optional_text("path", |_| true, "a path");
    match (model, path) {
        (Some(model), None) => checked_model(fields, "model", model),
        (None, Some(path)) => checked_prefix(fields, "path", path),
        (Some(_), Some(_)) => {
            fields.fault("path", "both model and path", "either model or path");
            None
        }
        (None, None) => {
            fields.fault("model", "neither model nor path", "either model or path");
            None
        }
    }
}

fn checked_model(fields: &mut Fields, field: &str, model: String) -> Option<Target> {
    if is_model(&model) {
        return Some(Target::Model(model));
    }
    fields.fault(field, quote(&model), MODEL);
    None
}

fn checked_prefix(fields: &mut Fields, field: &str, prefix: String) -> Option<Target> {
    if !is_prefix(&prefix) {
        let accepted = "a path of at most 256 printable characters that starts with / and has no \
                        ?, # or space";
        fields.fault(field, quote(&prefix), accepted);
        return None;
    }
    if MODEL_PATHS.iter().any(|it| prefix.starts_with(it)) {
        fields.fault(
            field,
            quote(&prefix),
            "a path that is not routed by model, else the route is unreachable",
        );
        return None;
    }
    Some(Target::Prefix(prefix))
}

fn pool(fields: &mut Fields, name: String) -> Pool {
    let protocols = [("engine", Protocol::Engine), ("plain", Protocol::Plain)];
    let protocol = fields.choice("protocol", &protocols);
    let pool = Pool {
        schema: SCHEMA,
        name,
        protocol: protocol.unwrap_or(Protocol::Engine),
        models: fields.names("models", is_model, MODEL),
        slots: fields.small("slots", 1..=100_000, None),
        kv_tokens: fields.number("kv_tokens", 0..=1_000_000_000_000, Some(0)),
        min_per_zone: fields.small("min_per_zone", 0..=10_000, Some(0)),
        max_per_zone: fields.small("max_per_zone", 0..=10_000, None),
        cheap_per_mille: fields.small("cheap_per_mille", 0..=1_000, Some(0)),
        fenced: fields.flag("fenced"),
    };
    if pool.min_per_zone > pool.max_per_zone {
        let accepted = format!("at most max_per_zone, {}", pool.max_per_zone);
        fields.fault("min_per_zone", pool.min_per_zone.to_string(), accepted);
    }
    if protocol == Some(Protocol::Plain) && !pool.models.is_empty() {
        fields.fault("models", "models of a plain service", "no models, or protocol engine");
    }
    pool
}

/// Whether a text can name a record.
pub fn is_name(text: &str) -> bool {
    let allowed = |it: u8| matches!(it, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(allowed)
}

fn is_model(text: &str) -> bool {
    (1..=MAX_MODEL).contains(&text.len()) && text.bytes().all(|it| it.is_ascii_graphic())
}

fn is_prefix(text: &str) -> bool {
    let allowed = |it: u8| it.is_ascii_graphic() && it != b'?' && it != b'#';
    text.starts_with('/') && text.len() <= MAX_PREFIX && text.bytes().all(allowed)
}

fn show(value: &Value) -> String {
    match value {
        Value::Null => "nothing".to_owned(),
        Value::Array(items) => format!("a list of {}", items.len()),
        Value::Object(_) => "an object".to_owned(),
        Value::Bool(_) | Value::Number(_) => value.to_string(),
        Value::String(text) => quote(text),
    }
}

fn quote(text: &str) -> String {
    let short: String = text.chars().take(MAX_QUOTE).collect();
    let dots = if short.len() < text.len() { "…" } else { "" };
    format!("{:?}{dots}", short)
}
