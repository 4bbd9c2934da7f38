//! Expected answers, which other tests compare with the answers that they receive.

use fulmarswitch_standins::engine::{token_text, whole_answer};
use fulmarswitch_standins::plain::plain_answer;

#[test]
fn whole_answer_concatenates_its_tokens() {
    let parts: String = (0..5).map(|index| token_text("prompt", index)).collect();
    assert_eq!(whole_answer("prompt", 5), parts);
    assert_ne!(whole_answer("prompt", 5), whole_answer("other", 5));
}

#[test]
fn plain_answer_contains_its_input() {
    assert_eq!(plain_answer("x"), "ok:x");
}
