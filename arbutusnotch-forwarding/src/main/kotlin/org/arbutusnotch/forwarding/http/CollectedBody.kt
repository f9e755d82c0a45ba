/*
 * A body that is kept in memory until it is complete.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/** Collects the parts of a body; [maximumBytes] is the size above which its receiver gives it up. */
internal class CollectedBody(val maximumBytes: Int) {
    private val collected = ByteArrayOutputStream()

    /** Whether the body has become larger than its limit. */
    val isTooLarge: Boolean
        get() = collected.size() > maximumBytes

    /** Adds [content] and releases it. */
    fun add(content: ByteBuf) {
        content.readBytes(collected, content.readableBytes())
        content.release()
    }

    fun bytes(): ByteArray = collected.toByteArray()

    /** Says why a body that [isTooLarge] was given up. */
    fun fault(): String = "answer is larger than $maximumBytes bytes"
}
