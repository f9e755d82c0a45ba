/*
 * Addresses in the form `ip:port`.
 */
package org.arbutusnotch.forwarding.http

import java.net.InetAddress
import java.net.InetSocketAddress

/** Returns the socket address of [text]; throws [IllegalArgumentException] when it is not of the form `ip:port`. */
public fun socketAddress(text: String): InetSocketAddress {
    val ip = text.substringBeforeLast(':')
    val port = text.substringAfterLast(':').toIntOrNull()
    require(port != null && ip.isNotEmpty() && ip.all { it.isDigit() || it == '.' }) { "not an address ip:port: $text" }
    return InetSocketAddress(InetAddress.getByName(ip), port)
}

/** Returns whether [text] is an address of the form `ip:port`. */
public fun isSocketAddress(text: String): Boolean = try {
    socketAddress(text)
    true
} catch (_: IllegalArgumentException) {
    false
}
