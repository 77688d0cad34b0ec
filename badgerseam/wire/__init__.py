"""Messages of each protocol: wire names on the outside, the field's terms inside."""
