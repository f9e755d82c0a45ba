/*
 * Socket addresses of the form `ip:port` with an IPv4 address; host names are never resolved.
 */
package org.arbutusnotch.forwarding.http

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

/** Parses [text] as a socket address; throws [IllegalArgumentException] when it is not of the form `ip:port`. */
public fun socketAddress(text: String): InetSocketAddress =
    requireNotNull(socketAddressOrNull(text)) { "Address is not of the form ip:port: $text" }

/** Returns whether [text] is an address of the form `ip:port`. */
public fun isSocketAddress(text: String): Boolean = socketAddressOrNull(text) != null

/** Returns whether [text] is an address of the form `ip:port` at which one server can listen. */
public fun isServerAddress(text: String): Boolean {
    val address = socketAddressOrNull(text) ?: return false
    val isUnicast = !address.address.isAnyLocalAddress && !address.address.isMulticastAddress &&
        address.address.hostAddress != BROADCAST_ADDRESS
    return isUnicast && address.port != 0
}

/** Parses [text] as a socket address; returns null when it is not of the form `ip:port`. */
internal fun socketAddressOrNull(text: String): InetSocketAddress? {
    val ip = text.substringBeforeLast(':').takeIf { NetUtil.isValidIpV4Address(it) }
    val digits = text.substringAfterLast(':').takeIf { port -> port.all { it in '0'..'9' } }
    val port = digits?.toIntOrNull()?.takeIf { it in PORT_RANGE }
    if (ip == null || port == null) return null
    return InetSocketAddress(InetAddress.getByAddress(NetUtil.createByteArrayFromIpAddressString(ip)), port)
}

private val PORT_RANGE = 0..65_535
private const val BROADCAST_ADDRESS = "255.255.255.255"
