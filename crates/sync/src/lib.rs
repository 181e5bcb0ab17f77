//! Distribution of the accepted configuration to every VM.
