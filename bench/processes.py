"""Resource usage of processes, read from /proc."""

import pathlib

__all__ = ['cpu_us', 'resident_kib']


def cpu_us(pid: int) -> float:
    """Returns the processor time of a process so far, in microseconds."""
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text('ascii')
    return int(text.split()[0]) / 1000


def resident_kib(pid: int) -> int:
    """Returns the resident memory of a process, in KiB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text('ascii')
    return int(text.partition('VmRSS:')[2].split()[0])
