"""Decides where requests are sent, and estimates the room for further ones."""
