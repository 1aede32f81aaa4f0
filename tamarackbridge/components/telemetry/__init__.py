"""Metrics, log events, traces, and the programs that read log files."""
