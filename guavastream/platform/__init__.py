"""Adapter that maps one platform's names, formats and HTTP calls to the product."""
