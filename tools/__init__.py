"""Measurements that the documentation quotes."""
