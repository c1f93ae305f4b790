//! Generated text, derived from the prompt so that tests can tell responses apart.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of prompt text in a cached prefix block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Hash of a prompt for `target` (`MODEL` or `MODEL:ADAPTER`).
pub fn prompt_hash(target: &str, prompt: &str) -> u64 {
    xxh3_64(format!("{target}\n{prompt}").as_bytes())
}

/// Hashes of all full prefix blocks of a prompt, shortest prefix first, as in cache events:
/// `xxh3_64` over the target, a line feed and the first 256·k bytes of the prompt text.
pub fn prefix_hashes(target: &str, prompt: &str) -> Vec<u64> {
    let text = format!("{target}\n{prompt}");
    let prefix_start = target.len() + 1;
    let blocks = prompt.len() / PREFIX_BLOCK_BYTES;
    (1..=blocks)
        .map(|n| xxh3_64(&text.as_bytes()[..prefix_start + n * PREFIX_BLOCK_BYTES]))
        .collect()
}

/// Text of the prompt of a chat request: one line `ROLE: CONTENT` per message.
pub fn chat_prompt(messages: &Value) -> String {
    let mut prompt = String::new();
    for message in messages.as_array().into_iter().flatten() {
        prompt.push_str(message["role"].as_str().unwrap_or_default());
        prompt.push_str(": ");
        match &message["content"] {
            Value::Array(parts) => {
                parts.iter().filter_map(|part| part["text"].as_str()).for_each(|text| {
                    prompt.push_str(text);
                });
            }
            content => prompt.push_str(content.as_str().unwrap_or_default()),
        }
        prompt.push('\n');
    }
    prompt
}

/// Token `n` of the response to the prompt with `hash`. Token 0 is the hash itself.
pub fn token(hash: u64, n: u64) -> String {
    match n {
        0 => format!("{hash:016x}"),
        _ => format!(" {:04x}", xxh3_64(&(hash ^ n).to_le_bytes()) & 0xffff),
    }
}

/// The complete text of `tokens` tokens in response to a prompt, for comparison in tests.
pub fn expected_text(target: &str, prompt: &str, tokens: u64) -> String {
    let hash = prompt_hash(target, prompt);
    (0..tokens).map(|n| token(hash, n)).collect()
}

/// Number of tokens that a prompt counts as.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Number of tokens in a prefix block.
pub(crate) const PREFIX_BLOCK_TOKENS: u64 = (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
