"""Generate training steps and deliver their batches to trainers."""
