/** A small stand-in of the users' platform: its key-value store and its workers, over HTTP on loopback. */
package org.apricotdeal.standins.users;
