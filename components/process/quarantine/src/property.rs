//! Properties that requests have in common.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a property, within one service. [`PROMPT_BIT`] is set in those of prompts only.
pub type PropertyKey = u64;

/// Tells the keys of prompts from all others. Nearly each request has a prompt of its own, so that
/// prompts are kept apart where memory is bounded.
const PROMPT_BIT: PropertyKey = 1 << 63;

/// Whether a key is that of a [`Property::Prompt`].
pub(crate) fn is_prompt(key: PropertyKey) -> bool {
    key & PROMPT_BIT != 0
}

/// Hash of a server and its run, which ends once.
pub type CrashId = u64;

/// A property of a request that others may share, and that may be the cause of a server's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Property<'a> {
    /// A part of the prompt, by its id.
    Part(&'a str),
    /// A part of the prompt as one model reads it: (model, id of the part).
    PartOf(&'a str, &'a str),
    /// The whole prompt, by what is known of it: (model, ids of its shared parts, its tokens).
    /// Callers send a request that failed again.
    Prompt(&'a str, &'a [Box<str>], u64),
    /// The model.
    Model(&'a str),
    /// The adapter of a model.
    Adapter(&'a str, &'a str),
    /// Path and query of a call to a plain service.
    Call(&'a str),
    /// The load of a model, or of an adapter of it.
    Load(&'a str, Option<&'a str>),
}

impl Property<'_> {
    fn key(self, seed: u64) -> PropertyKey {
        let hash = |kind: u64, text: &str| xxh3_64_with_seed(text.as_bytes(), seed ^ kind);
        let key = match self {
            Self::Part(id) => hash(1, id),
            Self::Model(model) => hash(2, model),
            Self::Adapter(model, adapter) => xxh3_64_with_seed(adapter.as_bytes(), hash(3, model)),
            Self::PartOf(model, part) => xxh3_64_with_seed(part.as_bytes(), hash(7, model)),
            Self::Prompt(model, parts, tokens) => {
                let parts = parts.iter().map(|part| part.as_bytes());
                let seed = parts.fold(hash(8, model), |seed, part| xxh3_64_with_seed(part, seed));
                xxh3_64_with_seed(&tokens.to_le_bytes(), seed)
            }
            Self::Call(path) => hash(4, path),
            Self::Load(model, None) => hash(5, model),
            Self::Load(model, Some(adapter)) => {
                xxh3_64_with_seed(adapter.as_bytes(), hash(6, model))
            }
        };
        match self {
            Self::Prompt(..) => key | PROMPT_BIT,
            _ => key & !PROMPT_BIT,
        }
    }
}

/// Most properties of one request that are considered.
const MAX_PROPERTIES: usize = 64;

/// Keys of the properties of a request to a service, sorted and without repetitions.
pub fn property_keys<'a>(
    service: &str,
    properties: impl Iterator<Item = Property<'a>>,
) -> Box<[PropertyKey]> {
    let seed = xxh3_64_with_seed(service.as_bytes(), 0);
    let mut keys: Vec<PropertyKey> =
        properties.take(MAX_PROPERTIES).map(|property| property.key(seed)).collect();
    keys.sort_unstable();
    keys.dedup();
    keys.into()
}

/// Id of the end of a server's run that started at `born`.
pub fn crash_id(server: &str, born: u64) -> CrashId {
    xxh3_64_with_seed(server.as_bytes(), born)
}
