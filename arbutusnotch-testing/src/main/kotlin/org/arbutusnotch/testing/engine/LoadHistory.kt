/*
 * Recent load of an engine or a service, for load reports that lag behind the actual load.
 */
package org.arbutusnotch.testing.engine

/** Keeps the recent load and reports it with a lag of [lagNanos]. */
internal class LoadHistory(private val lagNanos: Long) {
    private class Entry(val atNanos: Long, val load: LoadReport)

    private val entries = ArrayDeque<Entry>()

    /** Records [load] as the load from [nowNanos] on. */
    fun record(load: LoadReport, nowNanos: Long) {
        if (entries.lastOrNull()?.load != load) entries.addLast(Entry(nowNanos, load))
        while (entries.size > 1 && entries[1].atNanos <= nowNanos - lagNanos) entries.removeFirst()
    }

    /**
     * Returns the load as it was [lagNanos] before [nowNanos], with the wall-clock time of that moment, or [idle] when
     * no load had been recorded by then.
     */
    fun report(nowNanos: Long, nowEpochMillis: Long, idle: LoadReport): LoadReport {
        val laggedLoad = entries.lastOrNull { it.atNanos <= nowNanos - lagNanos }?.load ?: idle
        return laggedLoad.copy(asOfEpochMillis = nowEpochMillis - lagNanos / NANOS_PER_MILLI)
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
