/*
 * Creates instance rows and views for membership tests.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState

internal fun addressOf(number: Int): InstanceAddress = InstanceAddress("10.0.0.$number:7000")

internal fun rowOf(
    number: Int,
    incarnation: Long = 1,
    heartbeat: Long = 1,
    domain: String = "a",
    state: InstanceState = InstanceState.SERVING,
): InstanceRow = InstanceRow(
    InstanceId(addressOf(number), Incarnation(incarnation)),
    "10.0.0.$number:8000",
    "10.0.0.$number:9000",
    FailureDomainId(domain),
    state,
    heartbeat,
)

internal fun viewOf(
    number: Int,
    domain: String,
    reachable: Boolean = true,
    state: InstanceState = InstanceState.SERVING,
    leaving: Boolean = false,
): InstanceView = InstanceView(rowOf(number, domain = domain, state = state), reachable, leaving)
