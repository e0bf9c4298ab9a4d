//! Forged and truncated tokens and those of other accounts are ignored.

use briarshift_routing::token::Token;
use briarshift_units::{AccountId, ChatKey, StartNumber};
use proptest::prelude::*;

const KEY: [u8; 32] = [7; 32];

fn account(name: &str) -> AccountId {
    name.parse().unwrap()
}

fn token(chat: u64, start: u64) -> Token {
    Token { chat: ChatKey(chat), target: "e-1".parse().unwrap(), start: StartNumber(start) }
}

proptest! {
    #[test]
    fn verifies_only_untruncated_for_its_account_and_key(
        chat: u64,
        start: u64,
        cut in 0_usize..200,
    ) {
        let token = token(chat, start);
        let text = token.sign(&KEY, &account("a"));
        let verified = Token::verify(&text, &KEY, &account("a"));
        prop_assert_eq!(verified.as_ref(), Some(&token));
        prop_assert_eq!(Token::verify(&text, &KEY, &account("b")), None);
        prop_assert_eq!(Token::verify(&text, &[8; 32], &account("a")), None);
        prop_assert_eq!(Token::verify(&text[..cut % text.len()], &KEY, &account("a")), None);
    }

    #[test]
    fn changed_byte_fails_verification(
        chat: u64,
        start: u64,
        at in 0_usize..200,
        byte in b'!'..b'~',
    ) {
        let token = token(chat, start);
        let mut text = token.sign(&KEY, &account("a")).into_bytes();
        let at = at % text.len();
        // Upper- and lower-case hexadecimal digits of the authentication code are
        // equivalent.
        prop_assume!(!text[at].eq_ignore_ascii_case(&byte));
        text[at] = byte;
        let text = String::from_utf8(text).unwrap();
        prop_assert_eq!(Token::verify(&text, &KEY, &account("a")), None);
    }

    #[test]
    fn arbitrary_text_fails_verification(text in ".{0,80}") {
        prop_assert_eq!(Token::verify(&text, &KEY, &account("a")), None);
    }
}
