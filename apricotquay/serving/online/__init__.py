"""Online requests: admission, attempts, time limits and handover."""
