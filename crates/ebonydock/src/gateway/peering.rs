//! Gateways find each other through the platform's rows and exchange load reports over QUIC.
//!
//! Each start makes a certificate and publishes it with the VM's address; VMs accept the certificates
//! that are published and no others. Who reports to whom is up to [`ReportRoutes`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use rcgen::{CertificateParams, DistinguishedName, DnType, KeyPair};
use serde::{Deserialize, Serialize};

use crate::gateway::followers::{NewsUrgency, TableNews};
use crate::gateway::handle::GatewaySettings;
use crate::gateway::load::LoadNews;
use crate::gateway::report_exchange::{forward_reports, report_load};
use crate::gateway::report_routes::{ReportMember, ReportRoutes};
use crate::gateway::runtime::GatewayCore;
use crate::ids::{DataCentreId, VmId};
use crate::peers::messages::{PeerDatagram, PeerReply, PeerRequest};
use crate::peers::{PeerEndpoint, PeerEvents, TlsIdentity};
use crate::platform::rows::{RowError, RowTransaction};

/// The table of VMs.
pub(crate) const MEMBER_TABLE: &str = "gateway_members";
/// A VM that cannot be reached is tried again after this time.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);
const PUBLISH_PAUSE: Duration = Duration::from_millis(300);

/// What a VM publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GatewayMember {
    /// The VM.
    pub(crate) vm: VmId,
    /// Differs after each start.
    pub(crate) incarnation: u64,
    /// Its data centre.
    pub(crate) data_centre: DataCentreId,
    /// Its processor share in thousandths of a core.
    pub(crate) capacity: u32,
    /// Where it takes messages of other VMs.
    pub(crate) address: SocketAddr,
    /// Its certificate, in PEM.
    pub(crate) certificate: String,
}

/// The connections to other gateways.
pub(crate) struct GatewayPeering {
    endpoint: PeerEndpoint,
    own: GatewayMember,
    private_key: String,
    members: RefCell<HashMap<String, GatewayMember>>,
    is_listed: Cell<bool>,
    tried_at: RefCell<HashMap<VmId, Duration>>,
    pub(crate) routes: RefCell<ReportRoutes>,
}

fn make_certificate(vm: &VmId, incarnation: u64) -> Result<(String, String), String> {
    let failed = |error: rcgen::Error| error.to_string();
    let mut params = CertificateParams::new(vec!["ebonydock".to_owned()]).map_err(failed)?;
    // Verification looks a certificate up by its subject, which therefore differs for each start.
    let mut subject = DistinguishedName::new();
    subject.push(DnType::CommonName, format!("{vm}-{incarnation:x}"));
    params.distinguished_name = subject;
    let key = KeyPair::generate().map_err(failed)?;
    let certificate = params.self_signed(&key).map_err(failed)?;
    Ok((certificate.pem(), key.serialize_pem()))
}

impl GatewayPeering {
    /// Binds the endpoint.
    pub(crate) fn bind(settings: &GatewaySettings, incarnation: u64) -> Result<Self, String> {
        let (certificate, private_key) = make_certificate(&settings.vm, incarnation)?;
        let own = GatewayMember {
            vm: settings.vm.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            capacity: settings.capacity,
            address: settings.peers,
            certificate,
        };
        let identity = TlsIdentity {
            authority: own.certificate.clone(),
            certificate: own.certificate.clone(),
            private_key: private_key.clone(),
        };
        let endpoint = PeerEndpoint::bind(&own.vm, own.address, &identity)?;
        let routes = RefCell::new(ReportRoutes::open(&own.vm));
        Ok(Self {
            endpoint,
            own,
            private_key,
            members: RefCell::default(),
            is_listed: Cell::new(false),
            tried_at: RefCell::default(),
            routes,
        })
    }

    /// The VMs that published themselves, this one included.
    pub(crate) fn member_count(&self) -> usize {
        let others =
            self.members.borrow().values().filter(|member| member.vm != self.own.vm).count();
        others + 1
    }

    /// The number of VMs, this one included, once the platform has told them.
    pub(crate) fn known_members(&self) -> Option<usize> {
        self.is_listed.get().then(|| self.member_count())
    }

    /// Whether a VM is published with this incarnation.
    pub(crate) fn is_member(&self, vm: &VmId, incarnation: u64) -> bool {
        let members = self.members.borrow();
        members.get(vm.as_str()).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether a VM is published with any incarnation.
    pub(crate) fn knows(&self, vm: &VmId) -> bool {
        self.members.borrow().contains_key(vm.as_str())
    }

    fn take_news(&self, news: TableNews) {
        let rows = match news {
            TableNews::Snapshot(rows) => {
                self.is_listed.set(true);
                self.members.borrow_mut().clear();
                rows
            }
            TableNews::Changed(rows) => rows,
        };
        for row in rows {
            let member = postcard::from_bytes::<GatewayMember>(&row.value);
            let mut members = self.members.borrow_mut();
            let before = match member {
                Ok(member) if !row.deleted => members.insert(row.key, member),
                _ => members.remove(&row.key),
            };
            if let Some(before) = before {
                self.routes.borrow_mut().note_start(&before.vm);
                self.endpoint.disconnect(&before.vm);
            }
        }
        let mut authority = self.own.certificate.clone();
        for member in self.members.borrow().values() {
            authority.push_str(&member.certificate);
        }
        let identity = TlsIdentity {
            authority,
            certificate: self.own.certificate.clone(),
            private_key: self.private_key.clone(),
        };
        if let Err(error) = self.endpoint.set_identity(&identity) {
            log::error!(error = error; "certificates of peers not accepted");
        }
        self.routes.borrow_mut().set_members(&self.report_members());
        log::info!(members = self.member_count(); "members changed");
    }

    /// All VMs, this one included.
    fn report_members(&self) -> Vec<ReportMember> {
        let members = self.members.borrow();
        let others = members.values().filter(|member| member.vm != self.own.vm);
        let members = others.chain([&self.own]).map(|member| ReportMember {
            vm: member.vm.clone(),
            data_centre: member.data_centre.clone(),
            capacity: member.capacity,
        });
        members.collect()
    }

    /// Encodes reports that go to several VMs.
    pub(crate) fn encode(&self, news: LoadNews) -> bytes::Bytes {
        self.endpoint.encode_datagram(&PeerDatagram::Load(news))
    }

    /// Sends reports to a VM, unless it could not be reached a moment ago.
    pub(crate) fn send(&self, now: Duration, vm: &VmId, frames: &[bytes::Bytes]) {
        let members = self.members.borrow();
        let Some(member) = members.get(vm.as_str()) else { return };
        if !self.endpoint.is_connected(&member.vm, member.address) {
            let mut tried_at = self.tried_at.borrow_mut();
            if tried_at.get(vm).is_some_and(|last| now < *last + RECONNECT_PAUSE) {
                return;
            }
            tried_at.insert(vm.clone(), now);
        }
        for frame in frames {
            self.endpoint.send_frame(&member.vm, member.address, frame.clone());
        }
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.endpoint.close();
    }
}

struct GatewayPeerEvents(Rc<GatewayCore>);

impl PeerEvents for GatewayPeerEvents {
    fn handle_request(
        self: Rc<Self>,
        _from: VmId,
        _request: PeerRequest,
    ) -> LocalBoxFuture<'static, PeerReply> {
        let reply = PeerReply::Rejected("gateways exchange load reports only".to_owned());
        Box::pin(std::future::ready(reply))
    }

    fn handle_datagram(&self, from: VmId, datagram: PeerDatagram) {
        if let PeerDatagram::Load(news) = datagram {
            self.0.take_load_news(&from, &news);
        }
    }
}

impl GatewayCore {
    /// Publishes this VM, follows the others and reports load to them.
    pub(crate) fn spawn_peering(self: &Rc<Self>) {
        let events = Rc::new(GatewayPeerEvents(Rc::clone(self)));
        tokio::task::spawn_local(self.peering.endpoint.clone().serve(events));
        tokio::task::spawn_local(publish(Rc::clone(self)));
        let follower = self.follow(MEMBER_TABLE, vec![String::new()], NewsUrgency::Rare);
        tokio::task::spawn_local(follower.run(|core, news, _| core.peering.take_news(news)));
        tokio::task::spawn_local(report_load(Rc::clone(self)));
        tokio::task::spawn_local(forward_reports(Rc::clone(self)));
    }

    /// Takes this VM out of the members, on a planned stop.
    pub(crate) async fn unpublish(&self) {
        let own = &self.peering.own;
        let transaction = RowTransaction::in_partition("").delete(MEMBER_TABLE, own.vm.as_str());
        if let Err(error) = self.rows.transact(&transaction).await {
            log::warn!(error = error.to_string(); "member entry not removed");
        }
    }
}

async fn publish(core: Rc<GatewayCore>) {
    let own = &core.peering.own;
    let row = postcard::to_stdvec(own).unwrap_or_default();
    let transaction = RowTransaction::in_partition("").write(MEMBER_TABLE, own.vm.as_str(), row);
    loop {
        match core.rows.transact(&transaction).await {
            Ok(version) => {
                log::info!(vm = own.vm.as_str(), version = version; "member entry published");
                return;
            }
            Err(error @ (RowError::Refused(_) | RowError::Unknown(_))) => {
                log::warn!(error = error.to_string(); "member entry not published yet");
            }
            Err(error) => {
                log::error!(error = error.to_string(); "member entry rejected");
                return;
            }
        }
        tokio::time::sleep(PUBLISH_PAUSE).await;
    }
}
