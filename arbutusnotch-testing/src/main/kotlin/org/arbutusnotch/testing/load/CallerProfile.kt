/*
 * The callers of the two deployments, as the operators' files in `examples` name them.
 */
package org.arbutusnotch.testing.load

/**
 * Describes a group of callers that share a key.
 *
 * @property key bearer key; the operators' file holds its SHA-256
 * @property priority priority that the operators' file gives to the group
 */
public data class CallerProfile(public val name: String, public val key: String, public val priority: Int) {
    public companion object {
        /** Describes a caller of an example file, whose key is its name after `demo-`. */
        public fun demo(name: String, priority: Int): CallerProfile = CallerProfile(name, "demo-$name", priority)
    }
}
