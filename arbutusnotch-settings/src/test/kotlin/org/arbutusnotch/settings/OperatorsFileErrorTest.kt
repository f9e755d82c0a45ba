/*
 * Tests the errors of an operators' file: each kind, its position, and that all are reported at once.
 */
package org.arbutusnotch.settings

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.filter
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.map
import strikt.assertions.single

class OperatorsFileErrorTest {
    /** Guards against an invalid value that is accepted, and against an error with the wrong position. */
    @ParameterizedTest
    @MethodSource("errorCases")
    fun `one invalid value gives one error at its position`(errorCase: ErrorCase) {
        val text = VALID_OPERATORS_FILE.change(errorCase.old, errorCase.new)
        expectThat(deploymentErrors(text)).single().and {
            get { file }.isEqualTo(FILE_NAME)
            get { line }.isEqualTo(errorCase.line)
            get { column }.isEqualTo(1)
            get { key }.isEqualTo(errorCase.key)
            get { found }.contains(errorCase.found)
            get { allowed }.contains(errorCase.allowed)
        }
    }

    /** Guards against routing to pools that do not exist, have another kind or have no servers. */
    @ParameterizedTest
    @MethodSource("brokenReferences")
    fun `a broken reference is reported at its position`(errorCase: ErrorCase) {
        val text = VALID_OPERATORS_FILE.change(errorCase.old, errorCase.new)
        expectThat(deploymentErrors(text)).filter { error -> error.key == errorCase.key }.single().and {
            get { line }.isEqualTo(errorCase.line)
            get { found }.contains(errorCase.found)
            get { allowed }.contains(errorCase.allowed)
        }
    }

    /** Guards against a service that is declared but cannot be called. */
    @Test
    fun `a service without operations is rejected`() {
        val text = VALID_OPERATORS_FILE.substringBefore("[[services.operations]]")
        expectThat(deploymentErrors(text)).single().and {
            get { key }.isEqualTo("services[0].operations")
            get { line }.isEqualTo(61)
            get { found }.isEqualTo("a service without operations")
        }
    }

    /** Guards against a reader that stops at the first error, so that operators fix a file one error at a time. */
    @Test
    fun `all errors of a file are reported in file order`() {
        val text = VALID_OPERATORS_FILE
            .change("revision = 7", "revision = 0")
            .change("priority = 9", "priority = 10")
            .change("client = \"climbs\"", "client = \"climb\"")
            .change("slots = 20", "slots = \"20\"")
            .change("name = \"lookup\"", "name = \"book\"")
        expectThat(deploymentErrors(text)).map { error -> error.key }.containsExactly(
            "revision",
            "workspaces[0].client",
            "callers[0].priority",
            "servers[1].slots",
            "services[0].operations[1].name",
        )
    }

    /** Guards against follow-on errors: references to an entry with an invalid value must still be valid. */
    @Test
    fun `an entry with an invalid value can still be referenced`() {
        val text = VALID_OPERATORS_FILE.change("concurrent_requests = 50", "concurrent_requests = 0")
        expectThat(deploymentErrors(text)).map { error -> error.key }
            .containsExactly("clients[0].concurrent_requests")
    }

    /** Guards against an error message without the details that an operator needs to correct the file. */
    @Test
    fun `an error message has file, line, column, key, found and allowed`() {
        val text = VALID_OPERATORS_FILE.change("slots = 20", "slots = 0")
        expectThat(deploymentErrors(text)).single().get { toString() }
            .isEqualTo("deployment.toml:51:1: servers[1].slots: found integer 0; allowed: an integer from 1 to 100000")
    }

    /** Guards against accepting a file that stops all routing. */
    @Test
    fun `a file without models and services is rejected`() {
        expectThat(deploymentErrors("revision = 1\ndeployment = \"tower\"\n")).single()
            .get { found }.isEqualTo("neither models nor services")
    }

    /** Guards against rejecting valid names, numbers and addresses at the bounds of their ranges. */
    @Test
    fun `values at the bounds of their ranges are accepted`() {
        val text = VALID_OPERATORS_FILE
            .change("revision = 7", "revision = ${Long.MAX_VALUE}")
            .change("priority = 9", "priority = 0")
            .change("slots = 20", "slots = 100000")
            .change("name = \"guides\"", "name = \"${"g".repeat(64)}\"")
            .change("127.0.0.1:9003", "255.255.255.255:65535")
        expectThat(deploymentErrors(text)).isEmpty()
    }

    /** Describes a change to the valid file and the error that it must cause. */
    data class ErrorCase(
        val line: Int,
        val old: String,
        val new: String,
        val key: String,
        val found: String,
        val allowed: String,
    ) {
        override fun toString(): String = "$key: $found"
    }

    companion object {
        private const val GUIDES_DIGEST = "ca177a48a0b2dc5a019a9376f45780bb3ceeae2c828e9d1648bdcaeca7cce641"
        private const val DESK_DIGEST = "84f1b9c7105c417d2c129284c9911d06edd5dabe9c16be7bceb0f410c6d86520"
        private const val DUPLICATE = ", a duplicate of"
        private const val UNKNOWN = "unknown name \"x\""
        private const val POOLS = "one of reading, writing, desk"
        private const val OF_SERVICE = "pool \"desk\" of kind \"service\""
        private const val OF_PREFILL = "pool \"reading\" of kind \"prefill\""
        private const val OPERATION = "services[0].operations[0]"

        @JvmStatic
        fun errorCases(): List<ErrorCase> = scalars() + keys() + addresses() + duplicates()

        private fun scalars() = listOf(
            ErrorCase(1, "revision = 7", "revision = 0", "revision", "integer 0", "from 1 to 9223372036854775807"),
            ErrorCase(1, "revision = 7", "revision = 7.0", "revision", "float 7.0", "an integer"),
            ErrorCase(2, "\"tower\"", "\"a tower\"", "deployment", "string \"a tower\"", "letters, digits"),
            ErrorCase(2, "\"tower\"", "[]", "deployment", "an array of 0 elements", "letters, digits"),
            ErrorCase(5, "= 320", "= 0", "targets.first_token_millis", "integer 0", "from 1 to 600000"),
            ErrorCase(6, "= 26", "= true", "targets.between_tokens_millis", "boolean true", "an integer"),
            ErrorCase(
                10,
                "requests = 50",
                "requests = -1",
                "clients[0].concurrent_requests",
                "integer -1",
                "from 1 to 1000000",
            ),
            ErrorCase(19, "priority = 9", "priority = 10", "callers[0].priority", "integer 10", "from 0 to 9"),
            ErrorCase(20, "\"ca177a", "\"CA177a", "callers[0].key_sha256", "\"CA177a", "64 lower-case hexadecimal"),
            ErrorCase(29, "\"prefill\"", "\"read\"", "pools[0].kind", "string \"read\"", "\"prefill\" or \"decode\""),
            ErrorCase(44, "= true\nstate", "= 1\nstate", "servers[0].fencing", "integer 1", "true or false"),
            ErrorCase(45, "\"live\"", "\"gone\"", "servers[0].state", "string \"gone\"", "\"live\" or \"leaving\""),
            ErrorCase(51, "slots = 20", "slots = 0", "servers[1].slots", "integer 0", "from 1 to 100000"),
            ErrorCase(
                68,
                "= 5000",
                "= 1979-05-27",
                "$OPERATION.timeout_millis",
                "date or time 1979-05-27",
                "from 1 to",
            ),
        )

        private fun keys() = listOf(
            ErrorCase(4, "[targets]", "[target]", "target", "an unknown key", "deployment, targets, clients"),
            ErrorCase(4, "[targets]", "[[targets]]", "targets", "an array of 1 elements", "a table"),
            ErrorCase(1, "revision = 7\n", "", "revision", "no such key", "an integer"),
            ErrorCase(
                20,
                "priority = 9",
                "priority = 9\nrole = 1",
                "callers[0].role",
                "an unknown key",
                "name, workspace",
            ),
            ErrorCase(16, "priority = 9\n", "", "callers[0].priority", "no such key", "from 0 to 9"),
            ErrorCase(55, "slots = 32\n", "", "servers[2].slots", "no such key", "from 1 to 100000"),
            ErrorCase(65, "idempotent = false\n", "", "$OPERATION.idempotent", "no such key", "true or false"),
        )

        private fun addresses() = listOf(
            "localhost:9001",
            "127.0.0.1",
            "127.0.0.256:9001",
            "127.0.0.01:9001",
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:9001/path",
            "0.0.0.0:9001",
            "[::1]:9001",
        ).map { address ->
            ErrorCase(
                40,
                "127.0.0.1:9001",
                address,
                "servers[0].address",
                "string \"$address\"",
                "an IPv4 address and a port",
            )
        }

        private fun duplicates() = listOf(
            duplicate(
                17,
                "[[callers]]",
                workspace("harbour"),
                "workspaces[1].name",
                "$DUPLICATE workspaces[0].name in line 13",
            ),
            duplicate(
                23,
                "[[callers]]",
                caller("guides", DESK_DIGEST),
                "callers[1].name",
                "$DUPLICATE callers[0].name in line 17",
            ),
            duplicate(
                26,
                "[[callers]]",
                caller("desk", GUIDES_DIGEST),
                "callers[1].key_sha256",
                "$DUPLICATE callers[0]",
            ),
            duplicate(
                23,
                "[[models]]",
                caller("guides", DESK_DIGEST),
                "callers[1].name",
                "$DUPLICATE callers[0].name in line 17",
            ),
            ErrorCase(
                48,
                "127.0.0.1:9002",
                "127.0.0.1:9001",
                "servers[1].address",
                "$DUPLICATE servers[0].address",
                "a unique value",
            ),
            ErrorCase(
                71,
                "\"lookup\"",
                "\"book\"",
                "services[0].operations[1].name",
                "$DUPLICATE $OPERATION.name",
                "a unique value",
            ),
        )

        @JvmStatic
        fun brokenReferences(): List<ErrorCase> = unknownNames() + poolsOfWrongKind() + incompletePools()

        private fun unknownNames() = listOf(
            ErrorCase(14, "climbs\"\n\n[[call", "x\"\n\n[[call", "workspaces[0].client", UNKNOWN, "one of climbs"),
            ErrorCase(18, "harbour\"\nprio", "x\"\nprio", "callers[0].workspace", UNKNOWN, "one of harbour"),
            ErrorCase(24, "_pool = \"reading", "_pool = \"x", "models[0].prefill_pool", UNKNOWN, POOLS),
            ErrorCase(25, "_pool = \"writing", "_pool = \"x", "models[0].decode_pool", UNKNOWN, POOLS),
            ErrorCase(41, "\"reading\"\nfail", "\"x\"\nfail", "servers[0].pool", UNKNOWN, POOLS),
            ErrorCase(63, "\"desk\"\n\n[[services", "\"x\"\n\n[[services", "services[0].pool", UNKNOWN, POOLS),
        )

        private fun poolsOfWrongKind() = listOf(
            ErrorCase(
                24,
                "_pool = \"reading",
                "_pool = \"desk",
                "models[0].prefill_pool",
                OF_SERVICE,
                "kind \"prefill\"",
            ),
            ErrorCase(
                25,
                "_pool = \"writing",
                "_pool = \"desk",
                "models[0].decode_pool",
                OF_SERVICE,
                "kind \"decode\"",
            ),
            ErrorCase(
                63,
                "desk\"\n\n[[services",
                "reading\"\n\n[[services",
                "services[0].pool",
                OF_PREFILL,
                "kind \"service\"",
            ),
        )

        private fun incompletePools() = listOf(
            ErrorCase(
                line = 28,
                old = "\"reading\"\nfailure",
                new = "\"writing\"\nfailure",
                key = "pools[0].name",
                found = "pool \"reading\" without servers",
                allowed = "at least one [[servers]] entry with this pool",
            ),
            ErrorCase(
                line = 36,
                old = "[[services]]\nname = \"booking\"\npool = \"desk\"\n\n[[services.operations]]\nname = \"book\"",
                new = "[[surplus]]",
                key = "pools[2].name",
                found = "unused pool \"desk\"",
                allowed = "a pool that a model or service uses",
            ),
        )

        private fun duplicate(line: Int, before: String, entry: String, key: String, found: String) =
            ErrorCase(line, before, entry + before, key, found, "a unique value")

        private fun workspace(name: String) = "[[workspaces]]\nname = \"$name\"\nclient = \"climbs\"\n\n"

        private fun caller(name: String, digest: String) =
            "[[callers]]\nname = \"$name\"\nworkspace = \"harbour\"\npriority = 1\nkey_sha256 = \"$digest\"\n\n"
    }
}
