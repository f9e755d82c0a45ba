/*
 * Tests of the limit on concurrent requests of a client.
 */
package org.arbutusnotch.core.limit

import org.arbutusnotch.core.id.ClientId
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ClientLimitTest {
    private val table = ClientLimitTable()
    private val client = ClientId("belfry")

    /** Guards against one client that takes all of an instance. */
    @Test
    fun `refuses a request beyond the limit and admits it after one ended`() {
        expectThat(table.tryStart(client, limit = 1)).isTrue()
        expectThat(table.tryStart(client, limit = 1)).isFalse()
        table.finish(client)
        expectThat(table.tryStart(client, limit = 1)).isTrue()
    }

    /** Guards against a limit that another client's requests use up. */
    @Test
    fun `counts each client on its own`() {
        table.tryStart(client, limit = 1)
        expectThat(table.tryStart(ClientId("ndiaye"), limit = 1)).isTrue()
        expectThat(table.total()).isEqualTo(2)
    }

    /** Guards against an end that is counted twice, which would raise the limit unnoticed. */
    @Test
    fun `fails on an end without a start`() {
        expectCatching { table.finish(client) }.isFailure().isA<IllegalStateException>()
    }
}
