//! Forged, truncated and foreign tokens are ignored.

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
    fn verifys_only_whole_and_for_its_account(chat: u64, start: u64, cut in 0_usize..200) {
        let token = token(chat, start);
        let text = token.sign(&KEY, &account("a"));
        let whole = Token::verify(&text, &KEY, &account("a"));
        prop_assert_eq!(whole.as_ref(), Some(&token));
        prop_assert_eq!(Token::verify(&text, &KEY, &account("b")), None);
        prop_assert_eq!(Token::verify(&text, &[8; 32], &account("a")), None);
        prop_assert_eq!(Token::verify(&text[..cut % text.len()], &KEY, &account("a")), None);
    }

    #[test]
    fn a_changed_byte_voids_it(chat: u64, start: u64, at in 0_usize..200, byte in b'!'..b'~') {
        let token = token(chat, start);
        let mut text = token.sign(&KEY, &account("a")).into_bytes();
        let at = at % text.len();
        // Hexadecimal digits of the authenticator read alike in both cases.
        prop_assume!(!text[at].eq_ignore_ascii_case(&byte));
        text[at] = byte;
        let text = String::from_utf8(text).unwrap();
        prop_assert_eq!(Token::verify(&text, &KEY, &account("a")), None);
    }

    #[test]
    fn any_text_is_harmless(text in ".{0,80}") {
        prop_assert_eq!(Token::verify(&text, &KEY, &account("a")), None);
    }
}
