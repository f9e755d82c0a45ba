/*
 * Addresses in the form `ip:port`, with an IPv4 address; names are never looked up.
 */
package org.arbutusnotch.forwarding.http

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

/** Returns the socket address of [text]; throws [IllegalArgumentException] when it is not of the form `ip:port`. */
public fun socketAddress(text: String): InetSocketAddress =
    requireNotNull(socketAddressOrNull(text)) { "not an address ip:port: $text" }

/** Returns whether [text] is an address of the form `ip:port`. */
public fun isSocketAddress(text: String): Boolean = socketAddressOrNull(text) != null

/** Returns the socket address of [text], or null when it is not of the form `ip:port`. */
internal fun socketAddressOrNull(text: String): InetSocketAddress? {
    val ip = text.substringBeforeLast(':').takeIf { NetUtil.isValidIpV4Address(it) }
    val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in PORTS }
    if (ip == null || port == null) return null
    return InetSocketAddress(InetAddress.getByAddress(NetUtil.createByteArrayFromIpAddressString(ip)), port)
}

private val PORTS = 0..65_535
