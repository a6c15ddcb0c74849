//! What the machine lets through.
