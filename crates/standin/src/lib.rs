//! Small stand-ins for the platform, model engines and desk runners.
