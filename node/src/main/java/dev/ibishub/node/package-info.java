/** The programs that run on the users' platform: the product's parts joined to the adapter. */
package dev.ibishub.node;
