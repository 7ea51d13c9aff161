"""Limits how often a report is sent."""

__all__ = ['ReportThrottle']


class ReportThrottle:
    """Sends changed content soon, and unchanged content now and then."""

    def __init__(self) -> None:
        self._content: object = None
        self._sent_at = float('-inf')

    def is_due(self, content: object, now: float, *, same_s: float,
               changed_s: float) -> bool:
        """Returns whether to send a report now, and records it as sent if so.

        Args:
            content: the content that would be reported.
            now: monotonic seconds.
            same_s: the minimum interval for unchanged content, in seconds.
            changed_s: the minimum interval for changed content, in seconds.
        """
        interval_s = same_s if content == self._content else changed_s
        if now - self._sent_at < interval_s:
            return False
        self._content = content
        self._sent_at = now
        return True
