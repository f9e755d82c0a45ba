/*
 * The decisions of a dispatcher that apply while its pool has too little capacity.
 */
package org.arbutusnotch.core.dispatch

/**
 * Selects how a dispatcher decides while its pool has too little capacity.
 *
 * @property usesServerSpeeds whether runs are placed by the observed speed of each decode server
 * @property sharesFairly whether workspaces, routes and failure domains share the capacity if it is too small for all
 * @property pacesServers whether servers that have just started or recovered get fewer requests at a time
 * @property refusesEarly whether late requests that exceed the capacity are refused before their time has run out
 */
public data class DispatchPolicy(
    public val usesServerSpeeds: Boolean = true,
    public val sharesFairly: Boolean = true,
    public val pacesServers: Boolean = false,
    public val refusesEarly: Boolean = true,
)
