"""The users' prepared platform: its names, formats and calls.

Nothing here decides anything. Each module decodes one thing that the platform
says into the product's types, or encodes one thing that the product tells it.
"""
