/*
 * The load report of an engine or a service, which shows the load as it was some time ago.
 */
package org.arbutusnotch.testing.engine

/** Keeps the recent load and reports it [lagNanos] late. */
internal class LoadHistory(private val lagNanos: Long) {
    private class Entry(val atNanos: Long, val load: LoadReport)

    private val entries = ArrayDeque<Entry>()

    /** Records the load from [nowNanos] on. */
    fun record(load: LoadReport, nowNanos: Long) {
        if (entries.lastOrNull()?.load != load) entries.addLast(Entry(nowNanos, load))
        while (entries.size > 1 && entries[1].atNanos <= nowNanos - lagNanos) entries.removeFirst()
    }

    /** Returns the load as it was a lag before [nowNanos], stamped with that time of day. */
    fun report(nowNanos: Long, nowEpochMillis: Long, idle: LoadReport): LoadReport {
        val then = entries.lastOrNull { it.atNanos <= nowNanos - lagNanos }?.load ?: idle
        return then.copy(asOfEpochMillis = nowEpochMillis - lagNanos / NANOS_PER_MILLI)
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
