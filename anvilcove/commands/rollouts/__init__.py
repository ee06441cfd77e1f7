"""Run the steps and batches of trainers."""
