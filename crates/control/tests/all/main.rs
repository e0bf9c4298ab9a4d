//! Tests of the control reducer.

mod document;
