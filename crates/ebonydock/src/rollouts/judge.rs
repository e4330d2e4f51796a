//! Compares the answers of new targets with those of old ones.
