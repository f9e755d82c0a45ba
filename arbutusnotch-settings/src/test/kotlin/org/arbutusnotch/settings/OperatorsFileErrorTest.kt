/*
 * The errors of an operators' file: each kind, its position, and that all are told at once.
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
    /** Guards against an accepted mistake, and against an error that names another place than the mistake's. */
    @ParameterizedTest
    @MethodSource("mistakes")
    fun `one mistake gives one error at its place`(mistake: Mistake) {
        val text = VALID_OPERATORS_FILE.change(mistake.old, mistake.new)
        expectThat(deploymentErrors(text)).single().and {
            get { file }.isEqualTo(FILE_NAME)
            get { line }.isEqualTo(mistake.line)
            get { column }.isEqualTo(1)
            get { key }.isEqualTo(mistake.key)
            get { found }.contains(mistake.found)
            get { allowed }.contains(mistake.allowed)
        }
    }

    /** Guards against a configuration that routes to pools that do not exist, do other work or have no servers. */
    @ParameterizedTest
    @MethodSource("brokenReferences")
    fun `a broken reference is told at its place`(mistake: Mistake) {
        val text = VALID_OPERATORS_FILE.change(mistake.old, mistake.new)
        expectThat(deploymentErrors(text)).filter { error -> error.key == mistake.key }.single().and {
            get { line }.isEqualTo(mistake.line)
            get { found }.contains(mistake.found)
            get { allowed }.contains(mistake.allowed)
        }
    }

    /** Guards against a service that is declared and answers nothing. */
    @Test
    fun `a service without operations is refused`() {
        val text = VALID_OPERATORS_FILE.substringBefore("[[services.operations]]")
        expectThat(deploymentErrors(text)).single().and {
            get { key }.isEqualTo("services[0].operations")
            get { line }.isEqualTo(61)
            get { found }.isEqualTo("a service without operations")
        }
    }

    /** Guards against a reader that stops at the first error, so that operators correct a file one error at a time. */
    @Test
    fun `all errors of a file are told in the order of the file`() {
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

    /** Guards against follow-on errors: an entry with an invalid value must not make its references dangling. */
    @Test
    fun `an entry with an invalid value is still known by its name`() {
        val text = VALID_OPERATORS_FILE.change("concurrent_requests = 50", "concurrent_requests = 0")
        expectThat(deploymentErrors(text)).map { error -> error.key }
            .containsExactly("clients[0].concurrent_requests")
    }

    /** Guards against a message that an operator cannot act on. */
    @Test
    fun `an error reads as file, line, column, key, found and allowed`() {
        val text = VALID_OPERATORS_FILE.change("slots = 20", "slots = 0")
        expectThat(deploymentErrors(text)).single().get { toString() }
            .isEqualTo("deployment.toml:51:1: servers[1].slots: found integer 0; allowed: an integer from 1 to 100000")
    }

    /** Guards against an accepted file that takes all service away. */
    @Test
    fun `a file without models and services is refused`() {
        expectThat(deploymentErrors("revision = 1\ndeployment = \"tower\"\n")).single()
            .get { found }.isEqualTo("neither models nor services")
    }

    /** Guards against a check that refuses what operators need: names and addresses at the ends of their ranges. */
    @Test
    fun `values at the ends of their ranges are accepted`() {
        val text = VALID_OPERATORS_FILE
            .change("revision = 7", "revision = ${Long.MAX_VALUE}")
            .change("priority = 9", "priority = 0")
            .change("slots = 20", "slots = 100000")
            .change("name = \"guides\"", "name = \"${"g".repeat(64)}\"")
            .change("127.0.0.1:9003", "255.255.255.255:65535")
        expectThat(deploymentErrors(text)).isEmpty()
    }

    /** Describes a change of the valid file and the error that it must give. */
    data class Mistake(
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
        private const val SECOND = "a second time, first at"
        private const val UNKNOWN = "unknown name \"x\""
        private const val POOLS = "one of reading, writing, desk"
        private const val OF_SERVICE = "pool \"desk\" of kind \"service\""
        private const val OF_PREFILL = "pool \"reading\" of kind \"prefill\""
        private const val OPERATION = "services[0].operations[0]"

        @JvmStatic
        fun mistakes(): List<Mistake> = scalars() + keys() + addresses() + duplicates()

        private fun scalars() = listOf(
            Mistake(1, "revision = 7", "revision = 0", "revision", "integer 0", "from 1 to 9223372036854775807"),
            Mistake(1, "revision = 7", "revision = 7.0", "revision", "float 7.0", "an integer"),
            Mistake(2, "\"tower\"", "\"a tower\"", "deployment", "string \"a tower\"", "letters, digits"),
            Mistake(2, "\"tower\"", "[]", "deployment", "an array of 0 elements", "letters, digits"),
            Mistake(5, "= 320", "= 0", "targets.first_token_millis", "integer 0", "from 1 to 600000"),
            Mistake(6, "= 26", "= true", "targets.between_tokens_millis", "boolean true", "an integer"),
            Mistake(
                10,
                "requests = 50",
                "requests = -1",
                "clients[0].concurrent_requests",
                "integer -1",
                "from 1 to 1000000",
            ),
            Mistake(19, "priority = 9", "priority = 10", "callers[0].priority", "integer 10", "from 0 to 9"),
            Mistake(20, "\"ca177a", "\"CA177a", "callers[0].key_sha256", "\"CA177a", "64 lower-case hexadecimal"),
            Mistake(29, "\"prefill\"", "\"read\"", "pools[0].kind", "string \"read\"", "\"prefill\" or \"decode\""),
            Mistake(44, "= true\nstate", "= 1\nstate", "servers[0].fencing", "integer 1", "true or false"),
            Mistake(45, "\"live\"", "\"gone\"", "servers[0].state", "string \"gone\"", "\"live\" or \"leaving\""),
            Mistake(51, "slots = 20", "slots = 0", "servers[1].slots", "integer 0", "from 1 to 100000"),
            Mistake(68, "= 5000", "= 1979-05-27", "$OPERATION.timeout_millis", "date or time 1979-05-27", "from 1 to"),
        )

        private fun keys() = listOf(
            Mistake(4, "[targets]", "[target]", "target", "an unknown key", "deployment, targets, clients"),
            Mistake(4, "[targets]", "[[targets]]", "targets", "an array of 1 elements", "a table"),
            Mistake(1, "revision = 7\n", "", "revision", "no such key", "an integer"),
            Mistake(
                20,
                "priority = 9",
                "priority = 9\nrole = 1",
                "callers[0].role",
                "an unknown key",
                "name, workspace",
            ),
            Mistake(16, "priority = 9\n", "", "callers[0].priority", "no such key", "from 0 to 9"),
            Mistake(55, "slots = 32\n", "", "servers[2].slots", "no such key", "from 1 to 100000"),
            Mistake(65, "idempotent = false\n", "", "$OPERATION.idempotent", "no such key", "true or false"),
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
            Mistake(
                40,
                "127.0.0.1:9001",
                address,
                "servers[0].address",
                "string \"$address\"",
                "an IPv4 address and a port",
            )
        }

        private fun duplicates() = listOf(
            second(
                17,
                "[[callers]]",
                workspace("harbour"),
                "workspaces[1].name",
                "$SECOND workspaces[0].name in line 13",
            ),
            second(
                23,
                "[[callers]]",
                caller("guides", DESK_DIGEST),
                "callers[1].name",
                "$SECOND callers[0].name in line 17",
            ),
            second(26, "[[callers]]", caller("desk", GUIDES_DIGEST), "callers[1].key_sha256", "$SECOND callers[0]"),
            second(
                23,
                "[[models]]",
                caller("guides", DESK_DIGEST),
                "callers[1].name",
                "$SECOND callers[0].name in line 17",
            ),
            Mistake(
                48,
                "127.0.0.1:9002",
                "127.0.0.1:9001",
                "servers[1].address",
                "$SECOND servers[0].address",
                "no other",
            ),
            Mistake(
                71,
                "\"lookup\"",
                "\"book\"",
                "services[0].operations[1].name",
                "$SECOND $OPERATION.name",
                "no other",
            ),
        )

        @JvmStatic
        fun brokenReferences(): List<Mistake> = unknownNames() + poolsOfWrongKind() + poolsWithoutUse()

        private fun unknownNames() = listOf(
            Mistake(14, "climbs\"\n\n[[call", "x\"\n\n[[call", "workspaces[0].client", UNKNOWN, "one of climbs"),
            Mistake(18, "harbour\"\nprio", "x\"\nprio", "callers[0].workspace", UNKNOWN, "one of harbour"),
            Mistake(24, "_pool = \"reading", "_pool = \"x", "models[0].prefill_pool", UNKNOWN, POOLS),
            Mistake(25, "_pool = \"writing", "_pool = \"x", "models[0].decode_pool", UNKNOWN, POOLS),
            Mistake(41, "\"reading\"\nfail", "\"x\"\nfail", "servers[0].pool", UNKNOWN, POOLS),
            Mistake(63, "\"desk\"\n\n[[services", "\"x\"\n\n[[services", "services[0].pool", UNKNOWN, POOLS),
        )

        private fun poolsOfWrongKind() = listOf(
            Mistake(
                24,
                "_pool = \"reading",
                "_pool = \"desk",
                "models[0].prefill_pool",
                OF_SERVICE,
                "kind \"prefill\"",
            ),
            Mistake(25, "_pool = \"writing", "_pool = \"desk", "models[0].decode_pool", OF_SERVICE, "kind \"decode\""),
            Mistake(
                63,
                "desk\"\n\n[[services",
                "reading\"\n\n[[services",
                "services[0].pool",
                OF_PREFILL,
                "kind \"service\"",
            ),
        )

        private fun poolsWithoutUse() = listOf(
            Mistake(
                line = 28,
                old = "\"reading\"\nfailure",
                new = "\"writing\"\nfailure",
                key = "pools[0].name",
                found = "pool \"reading\" without servers",
                allowed = "at least one [[servers]] of the pool",
            ),
            Mistake(
                line = 36,
                old = "[[services]]\nname = \"booking\"\npool = \"desk\"\n\n[[services.operations]]\nname = \"book\"",
                new = "[[surplus]]",
                key = "pools[2].name",
                found = "pool \"desk\" that nothing uses",
                allowed = "a pool of a model or of a service",
            ),
        )

        private fun second(line: Int, before: String, entry: String, key: String, found: String) =
            Mistake(line, before, entry + before, key, found, "a value that no other entry has")

        private fun workspace(name: String) = "[[workspaces]]\nname = \"$name\"\nclient = \"climbs\"\n\n"

        private fun caller(name: String, digest: String) =
            "[[callers]]\nname = \"$name\"\nworkspace = \"harbour\"\npriority = 1\nkey_sha256 = \"$digest\"\n\n"
    }
}
