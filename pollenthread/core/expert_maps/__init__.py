"""Decisions about the expert maps of rank groups that orders to agents drive.

`rank_speed` tells which ranks are slow. A slow rank makes its whole group
slow, so the planner gives it fewer experts.
"""
