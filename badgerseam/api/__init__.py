"""What users see."""
