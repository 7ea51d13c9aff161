"""Decides which requests are admitted, wait or are refused under load.

Modules here use `core.routing` for the room that is left; they do no input or
output and ask no clock.
"""
