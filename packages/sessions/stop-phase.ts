/**
 * Phase of a planned stop:
 *
 * - `serving`: callers are served as before, until new ones are directed to other hosts;
 * - `draining`: sessions that are not in use are closed;
 * - `refusing`: single statements and new transactions are refused, open transactions go on;
 * - `rollingBack`: open transactions are rolled back, and each statement is refused;
 * - `answering`: statements that still run are answered with what is known of them, and all sessions are closed.
 */
export type StopPhase = 'serving' | 'draining' | 'refusing' | 'rollingBack' | 'answering';
