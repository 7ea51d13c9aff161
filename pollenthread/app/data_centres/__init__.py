"""Applies the requests of operators for whole data centres."""
