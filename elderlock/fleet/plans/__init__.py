"""An agent's part in plans: releases and drains in steps that the group holds."""
