//! The entry VM's process: control thread, traffic workers, listeners.
