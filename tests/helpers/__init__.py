"""What tests share."""
