//! Tests of the slice.
