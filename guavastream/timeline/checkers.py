"""Checkers over a time line."""

__all__ = []
