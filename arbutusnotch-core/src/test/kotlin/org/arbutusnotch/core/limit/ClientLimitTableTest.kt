/*
 * Tests the limit on concurrent requests of a client.
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

class ClientLimitTableTest {
    private val table = ClientLimitTable()
    private val client = ClientId("belfry")

    /** Guards against one client that exhausts an instance. */
    @Test
    fun `refuses a request above the limit and admits it after another one finished`() {
        expectThat(table.tryStart(client, limit = 1)).isTrue()
        expectThat(table.tryStart(client, limit = 1)).isFalse()
        table.finish(client)
        expectThat(table.tryStart(client, limit = 1)).isTrue()
    }

    /** Guards against a limit that another client's requests use up. */
    @Test
    fun `counts each client separately`() {
        table.tryStart(client, limit = 1)
        expectThat(table.tryStart(ClientId("ndiaye"), limit = 1)).isTrue()
        expectThat(table.total()).isEqualTo(2)
    }

    /** Guards against a request that is finished twice, which would silently raise the limit. */
    @Test
    fun `fails when a request is finished that was not started`() {
        expectCatching { table.finish(client) }.isFailure().isA<IllegalStateException>()
    }
}
