"""Checks configurations before they are in force."""
