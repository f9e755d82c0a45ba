/*
 * Splits the chunks of a response body into lines.
 */
package org.arbutusnotch.daemon.backend

import java.io.ByteArrayOutputStream

/** Buffers bytes until a line feed ends the line; a line can span chunks. */
internal class LineSplitter(private val maximumLineBytes: Int) {
    private val partial = ByteArrayOutputStream()

    /** Number of bytes of the incomplete line. */
    val pendingBytes: Int get() = partial.size()

    /** Whether the incomplete line exceeds the limit. */
    val isOverLimit: Boolean get() = partial.size() > maximumLineBytes

    /** Returns the non-blank lines that [chunk] completes. */
    fun add(chunk: ByteArray): List<String> {
        val lines = mutableListOf<String>()
        var start = 0
        for (index in chunk.indices) {
            if (chunk[index] != LINE_FEED) continue
            partial.write(chunk, start, index - start)
            lines += takeLine()
            start = index + 1
        }
        partial.write(chunk, start, chunk.size - start)
        return lines.filter { it.isNotBlank() }
    }

    private fun takeLine(): String {
        val line = partial.toString(Charsets.UTF_8)
        partial.reset()
        return line
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
