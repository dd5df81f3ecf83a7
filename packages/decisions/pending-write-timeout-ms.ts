/** Milliseconds after which a write to the platform's table that got no answer can no longer take effect. */
export const pendingWriteTimeoutMs = 5000;
